"""A status report of another writer, with fields missing, arrives while an endpoint drains."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STRAY_AFTER_S = 2.0     # after the ack of `draining`
LEAVES_AFTER_S = 4.5    # after the ack: drainTimeoutMs and a little longer
FLOWS_A_SECOND = 60
DRAIN_S = rig.BOUNDS["drainTimeoutMs"] / 1000


async def one_request(site, client):
    flow = rig.ClientFlow(client, site.route(8443))
    if await flow.open():
        await flow.request()
        flow.close()


async def open_flows(site, client, is_over):
    """Opens a flow for each request, at a steady rate."""
    running = []
    while not is_over.is_set():
        running.append(asyncio.ensure_future(one_request(site, client)))
        await asyncio.sleep(len(site.clients) / FLOWS_A_SECOND)
    await asyncio.gather(*running)


async def send_stray_report(site, endpoint):
    """The report has neither `zone` nor `version` nor `born`, so it names no endpoint to use."""
    body = {"backend": endpoint.service, "address": f"{endpoint.ip}:{rig.PORT_APP}", "concurrency": 4,
            "state": "ready", "warmupLeftMs": 0, "sequence": 1}
    answer = await rig.http("PUT", endpoint.ip, rig.PORT_CONTROL, "/instances/i-0ther0ne", body)
    site.note("stray.report", body=json.dumps(body), status=answer and answer[0])


async def case():
    site = rig.Site(FOLDER, seed=6)
    late = []

    def check_drain(endpoint, key, flow):
        acked_at = endpoint.drain_acked_at
        if acked_at is None or flow.first_arrival <= acked_at + DRAIN_S:
            return
        late.append(flow)
        site.broken("DRAIN", f"{endpoint.machine} took the flow {rig.flow_name(key)} "
                    f"{flow.first_arrival - acked_at:.2f} s after the ack of its draining")

    try:
        await site.begin()
        if not await site.declare(site.manifest(3, [(8443, "alpha")])):
            return rig.NOT_RUN
        await asyncio.sleep(5)  # more than touchMs: all machines are in touch
        site.on_open_hooks = [check_drain]
        is_over = asyncio.Event()
        load = [asyncio.ensure_future(open_flows(site, client, is_over)) for client in site.clients]
        await asyncio.sleep(4)
        leaving = site.endpoints["side-zone-a-1"]
        if not await leaving.drain():
            return rig.NOT_RUN
        await asyncio.sleep(STRAY_AFTER_S)
        if TROUBLE:
            await send_stray_report(site, leaving)
        await asyncio.sleep(leaving.drain_acked_at + LEAVES_AFTER_S - time.time())
        await leaving.leave()
        await asyncio.sleep(2)
        is_over.set()
        await asyncio.gather(*load)
        site.note("result", requests=len(site.attempts), answered=len(site.done), late_flows=len(late))
        if len(site.done) < len(site.attempts) * 0.8:
            return rig.NOT_RUN
        return rig.BROKEN if late else rig.HELD
    finally:
        site.end()


rig.run(case)
