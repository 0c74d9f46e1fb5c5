"""A heartbeat that got no response is performed by the store after the upstream has reported that it drains."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from kit3 import *  # noqa: E402,F403

DRAIN_S = 2.0
STABLE_S = 3.0
LATE_S = 5.6
KEY = "ctnfzs989anu6wsjnban"


async def case(fleet):
    routes = {"r-payout": route("/payout/", "unsafe", "malipo")}
    config = configuration(1, routes, ["malipo"], {"sese880": tenant([KEY])})
    await fleet.start(2, 2, ["malipo"], config, work_s=0.1)
    for daemon in fleet.daemons:
        await fleet.wait_serving(daemon, "POST", "/payout/30", KEY, b"start")
    leaving, sent = fleet.upstreams[0], {}
    stop = asyncio.Event()

    async def client(daemon):
        n = 0
        while not stop.is_set():
            n += 1
            rid = f"{daemon.host}-{n}"
            sent[rid] = now()
            await fleet.request(daemon, "POST", "/payout/2f", KEY, b'{"bale":"%d"}' % n, rid=rid)
            await asyncio.sleep(0.03)

    clients = [fleet.spawn(client(d)) for d in fleet.daemons for _ in range(2)]
    await asyncio.sleep(3.0)

    # From here on this upstream's heartbeats are written by hand, one each heartbeatS.
    leaving.up = False
    start = now()

    async def write(entry, what):
        await fleet.store.put("servers", leaving.id, entry)
        fleet.log(f"{leaving.id}: {what}, seq={entry['seq']} state={entry['state']}")

    async def at(seconds):
        await asyncio.sleep(max(0.0, start + seconds - now()))

    lost = leaving.entry()
    fleet.log(f"{leaving.id}: heartbeat sent, seq={lost['seq']} state={lost['state']}, no response")
    if not TROUBLE:
        await write(lost, "heartbeat performed at once")

    async def late():
        await at(LATE_S)
        await write(lost, "the heartbeat without a response is performed")

    if TROUBLE:
        fleet.spawn(late())
    await at(1.5)
    await write(leaving.entry(), "heartbeat")
    await at(3.0)
    await write(leaving.entry(), "heartbeat")
    await at(STABLE_S + 0.4)
    leaving.state = "draining"
    await write(leaving.entry(), "report that it drains accepted")
    acked = now()
    for beat in (4.5, 6.0, 7.5):
        await at(beat)
        await write(leaving.entry(), "heartbeat")
    await at(9.0)
    stop.set()
    await asyncio.gather(*clients)

    late_runs = [(r["t"], r["id"]) for r in fleet.runs if r["upstream"] == leaving.id and r["t"] > acked + DRAIN_S]
    before = [r for r in fleet.runs if r["upstream"] == leaving.id and r["t"] <= acked]
    for t, rid in late_runs:
        fleet.log(f"reached {leaving.id} {t - acked:.3f} s after the acknowledgement: {rid}, sent {sent[rid] - acked:.3f} s after it")
    fleet.log(f"requests at {leaving.id} before the acknowledgement: {len(before)}; "
              f"later than drainS after it: {len(late_runs)}, allowed 0")
    if not before:
        raise CannotRun("the upstream got no requests at all")
    return BROKEN if late_runs else HELD


play(Fleet, HERE, case)
