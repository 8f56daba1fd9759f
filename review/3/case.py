"""Flows stay idle for longer than before, but within the manifest's `idleTimeoutMs`.

The order of events:
  1. Version 1 of the manifest has an `idleTimeoutMs` of 15 s.  Version 2 changes this time-out to 45 s, and
     nothing else.
  2. Clients open flows and get an answer on each.
  3. The flows are idle for 24 s.  Nothing is disrupted; all machines and endpoints run on, and the endpoints
     still hold the flows, which are younger than `maxFlowS` (60 s).
  4. The clients send the next request on each flow.
Checked is FLOW (a): no client gets a reset that its flow's endpoint didn't send.  With TROUBLE=0 there is no
version 2, and the pause of (3) is 12 s, within the 15 s of version 1.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, Endpoint, manifest, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LEAD_S = 10.0  # traffic starts 10 s after the machines do
IDLE_TIMEOUT_MS = 45000 if TROUBLE else 15000  # in force while the flows are open
IDLE_S = 24.0 if TROUBLE else 12.0
FLOWS, LIMIT_S = 200, 2.5
OPENS_PER_S = 80
SERVICE, ADDRESS = "huvo11a", ("198.18.0.1", 8443)


def version(number, idle_timeout_ms):
    routes = [("r-feed", *ADDRESS, SERVICE, "idempotent", 2500)]
    return manifest(number, [SERVICE], routes, idleTimeoutMs=idle_timeout_ms)


class Flow:
    """A client's flow: a first request, a pause, a second request."""

    def __init__(self, site, client, n):
        self.record, self.n = site.record, n
        self.flow = client.new_flow(ADDRESS, site.edges[n % len(site.edges)])
        self.owner = self.second = self.idle_from = self.idle_s = None

    async def first(self):
        if not await self.flow.open():
            return
        answer = await self.flow.request(f"first-{self.n}", LIMIT_S)
        if answer is not None:
            self.owner = answer.rpartition(" ")[2]
            self.idle_from = self.record.now()

    async def after_pause(self):
        await asyncio.sleep(max(0.0, self.idle_from + IDLE_S - self.record.now()))
        self.idle_s = self.record.now() - self.idle_from
        self.second = await self.flow.request(f"second-{self.n}", LIMIT_S)
        outcome = "reset" if self.flow.reset_at is not None else self.second or "no answer"
        self.record.write(f"client: second-{self.n} after {self.idle_s:.3f} s, flow at {self.owner}: {outcome}")


async def play(site, record):
    sides = [site.add_side(zone, i, SERVICE) for zone in site.zones for i in range(2)]
    site.start_all()
    endpoints = [Endpoint(site, side, f"i-{i}{random.getrandbits(24):06x}", SERVICE, work_s=0.03)
                 for i, side in enumerate(sides)]
    for endpoint in endpoints:
        await endpoint.start()
        endpoint.begin_reports()
    if not await site.put_config(version(1, 15000)) or not await site.wait_ready():
        record.say("the installation does not come up")
        return 2
    if TROUBLE and not await site.put_config(version(2, IDLE_TIMEOUT_MS)):
        record.say("version 2 is not acknowledged")
        return 2
    clients = [Client(site, f"{site.block}.200.{i + 1}") for i in range(10)]
    for client in clients:
        await client.start()
    await asyncio.sleep(max(0.0, LEAD_S - record.now()))
    flows, firsts = [], []
    for n in range(FLOWS):
        flows.append(Flow(site, clients[n % len(clients)], n))
        firsts.append(asyncio.create_task(flows[-1].first()))
        await asyncio.sleep(1 / OPENS_PER_S)
    await asyncio.gather(*firsts)
    flows = [flow for flow in flows if flow.owner is not None]
    record.say(f"open flows with an answer: {len(flows)} of {FLOWS}; idleTimeoutMs is {IDLE_TIMEOUT_MS}")
    if len(flows) < FLOWS * 9 // 10:
        return 2
    await asyncio.gather(*(flow.after_pause() for flow in flows))
    return judge(site, record, flows, endpoints)


def judge(site, record, flows, endpoints):
    reset = [flow for flow in flows if flow.flow.reset_at is not None]
    holders = {endpoint.id: endpoint for endpoint in endpoints}
    held = [flow for flow in reset
            if any(key[:2] == (flow.flow.client.address, flow.flow.sport) for key in holders[flow.owner].flows)]
    ended = site.ended_by_themselves()
    record.say(f"second requests after {min(flow.idle_s for flow in flows):.1f} to "
               f"{max(flow.idle_s for flow in flows):.1f} s: {len(flows)}, answered: "
               f"{sum(flow.second is not None for flow in flows)}")
    record.say(f"open flows that got a reset of the system's own: {len(reset)}; their endpoints live and hold "
               f"{len(held)} of them")
    if ended:
        record.say(f"processes that ended by themselves: {ended}")
        return 2
    if held:
        record.say("FLOW is broken")
        return 1
    record.say("FLOW held")
    return 0


if __name__ == "__main__":
    run(play)
