"""A manifest changes the weights of a route's `trafficSplit` while flows of that route are open.

The order of events:
  1. Version 1 sends a route's flows to two services, 90 to 10.  Clients open flows and send a request on each
     every second, as a standing feed does.
  2. Version 2, acknowledged, has the weights 10 to 90.  Nothing else changes; all endpoints of both services
     live on, and the route is still there.
  3. The clients go on with the requests of their open flows.
Checked is FLOW (a): no client gets a reset that its flow's endpoint didn't send.  With TROUBLE=0 version 2 keeps
the weights and changes the route's time limit.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import Client, Endpoint, manifest, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LEAD_S = 10.0  # traffic starts 10 s after the machines do
BEFORE_S, AFTER_S = 5.0, 8.0
FEEDS, PAUSE_S, LIMIT_S = 30, 1.0, 2.5  # clients of the feed, pause between requests, time limit of a request
DESK, VAULT, ADDRESS = "huvo11a", "wuno96b", ("198.18.0.1", 8443)


def split_manifest(version, weights, limit_ms):
    config = manifest(version, [DESK, VAULT], [("r-feed", *ADDRESS, DESK, "idempotent", limit_ms)])
    del config["routes"][0]["backend"]
    config["routes"][0]["trafficSplit"] = [{"backend": name, "weight": weight}
                                           for name, weight in zip((DESK, VAULT), weights)]
    return config


class Feed:
    """One client's standing flow: a request, its answer, a pause."""

    def __init__(self, site, client, n):
        self.record, self.n = site.record, n
        self.flow = client.new_flow(ADDRESS, site.edges[n % len(site.edges)])
        self.is_open, self.owner, self.answered, self.unanswered = False, None, [], []
        self.task = asyncio.create_task(self.run())

    async def run(self):
        await asyncio.sleep(random.random() * PAUSE_S)
        self.is_open = await self.flow.open()
        number = 0
        while self.is_open and self.flow.reset_at is None:
            number += 1
            text = f"feed-{self.n}-{number}"
            answer = await self.flow.request(text, LIMIT_S)
            (self.answered if answer is not None else self.unanswered).append(text)
            self.owner = answer.rpartition(" ")[2] if answer is not None else self.owner
            self.record.write(f"client: {text}: {answer or 'no answer'}")
            await asyncio.sleep(PAUSE_S)


async def play(site, record):
    sides = [(site.add_side(zone, i, service), service) for zone in site.zones
             for i, service in enumerate((DESK, VAULT))]
    site.start_all()
    endpoints = [Endpoint(site, side, f"i-{i}{random.getrandbits(24):06x}", service, work_s=0.03)
                 for i, (side, service) in enumerate(sides)]
    for endpoint in endpoints:
        await endpoint.start()
        endpoint.begin_reports()
    if not await site.put_config(split_manifest(1, (90, 10), 2500)) or not await site.wait_ready():
        record.say("the installation does not come up")
        return 2
    clients = [Client(site, f"{site.block}.200.{i + 1}") for i in range(6)]
    for client in clients:
        await client.start()
    await asyncio.sleep(max(0.0, LEAD_S - record.now()))
    feeds = [Feed(site, clients[n % len(clients)], n) for n in range(FEEDS)]
    await asyncio.sleep(BEFORE_S)
    n_open = sum(feed.is_open and feed.flow.reset_at is None for feed in feeds)
    record.say(f"{n_open} of {FEEDS} flows are open; answered {sum(len(feed.answered) for feed in feeds)} requests")
    if n_open < FEEDS:
        return 2
    version_2 = split_manifest(2, (10, 90), 2500) if TROUBLE else split_manifest(2, (90, 10), 2000)
    if not await site.put_config(version_2):
        record.say("version 2 is not acknowledged")
        return 2
    changed_at = record.now()
    record.say("version 2, with " + ("weights 10 to 90" if TROUBLE else "another time limit") + ", is acknowledged")
    await asyncio.sleep(AFTER_S)
    for feed in feeds:
        feed.task.cancel()
    return judge(site, record, feeds, endpoints, changed_at)


def judge(site, record, feeds, endpoints, changed_at):
    reset = [feed for feed in feeds if feed.flow.reset_at is not None]
    holders = {endpoint.id: endpoint for endpoint in endpoints}
    held = [feed for feed in reset if feed.owner in holders
            and any(key[:2] == (feed.flow.client.address, feed.flow.sport) for key in holders[feed.owner].flows)]
    ended = site.ended_by_themselves()
    record.say(f"answered {sum(len(feed.answered) for feed in feeds)} requests on {FEEDS} flows; without an answer: "
               f"{sum(len(feed.unanswered) for feed in feeds)}; packets that endpoints returned: "
               f"{sum(endpoint.returned for endpoint in endpoints)}")
    if reset:
        record.say(f"the first reset came {min(feed.flow.reset_at for feed in reset) - changed_at:.3f} s after version 2")
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
