"""Clients move to another zone while a node beside an endpoint restarts; later calm flows are reset."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
N_FLOWS = 60
OPENED_AFTER_S = 0.2      # after SIGTERM: the node has ended by then
SECOND_AFTER_S = 0.25     # the second request, after the first
RESTARTED_AFTER_S = 0.6   # the short delay until an ended process is started again
MOVED_FOR_S = 6.5         # `shift` of acl-agadir: share 0.5, for_s 6.5
TOUCH_S = rig.BOUNDS["touchMs"] / 1000
THIRD_AFTER_S = TOUCH_S + 0.5  # the third request, after the node's start


async def case():
    # One endpoint in each zone, like those of `statements`.
    site = rig.Site(FOLDER, seed=5, sides=(("alpha", 1), ("alpha", 1), ("alpha", 1)))
    started_at = [None]
    n_resets = [0]

    def check_reset(flow, holder):
        if holder is None:
            return
        if started_at[0] is None or time.time() - started_at[0] < TOUCH_S:
            return  # the machine of the restarted node is not in touch
        n_resets[0] += 1
        site.broken("FLOW", f"the client's open flow {rig.flow_name(flow.key)} at {holder.machine} got a reset that "
                    f"the endpoint did not send, {time.time() - started_at[0]:.1f} s after the start of the node beside "
                    "another endpoint")

    async def use(client, go_second, go_third):
        flow = rig.ClientFlow(client, site.route(8443))
        outcomes = []
        if not await flow.open():
            return ["not opened"]
        outcomes.append((await flow.request())[0])
        await go_second.wait()
        if flow.end is None:
            outcomes.append((await flow.request())[0])
        await go_third.wait()
        if flow.end is None:
            outcomes.append((await flow.request())[0])
        flow.close()
        return outcomes

    try:
        await site.begin(n_clients=6)  # two in each zone: half of zone-a's clients move
        if not await site.declare(site.manifest(3, [(8443, "alpha")])):
            return rig.NOT_RUN
        await asyncio.sleep(6)
        site.on_reset_hooks = [check_reset]
        mover = site.clients[0]          # in zone-a
        restarting = "side-zone-c-1"
        go_second, go_third = asyncio.Event(), asyncio.Event()
        if TROUBLE:
            site.processes["agent", restarting].expected = True
            site.signal("agent", restarting, signal.SIGTERM)
            await asyncio.sleep(OPENED_AFTER_S)
            if site.processes["agent", restarting].poll() is None:
                return rig.NOT_RUN
        flows = [asyncio.ensure_future(use(mover, go_second, go_third)) for _ in range(N_FLOWS)]
        await asyncio.sleep(SECOND_AFTER_S)
        moved_at = time.time()
        if TROUBLE:
            mover.zone = "zone-b"
            site.note("clients.moved", to=mover.zone)
        go_second.set()
        await asyncio.sleep(RESTARTED_AFTER_S - SECOND_AFTER_S)
        if TROUBLE:
            site.start("agent", restarting)
            site.note("agent.started", machine=restarting)
        started_at[0] = time.time()
        await asyncio.sleep(THIRD_AFTER_S)
        go_third.set()
        await asyncio.sleep(moved_at + MOVED_FOR_S - time.time())
        mover.zone = "zone-a"
        outcomes = await asyncio.gather(*flows)
        flat = [one for each in outcomes for one in each]
        site.note("result", flows=N_FLOWS, ok=flat.count("ok"), reset=flat.count("reset"), timeout=flat.count("timeout"),
                  not_opened=flat.count("not opened"), counted=n_resets[0])
        return rig.BROKEN if n_resets[0] else rig.HELD
    finally:
        site.end()


rig.run(case)
