"""A large upload that crashes upstreams comes again, between other uploads to the same path."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from kit3 import *  # noqa: E402,F403

STABLE_S = 3.0
MAX_RETRIES = 3
BACK_S = 2.0
KEY = "ctnfzs989anu6wsjnban"
SIZE = 200_000
POISON = b"P" * SIZE


class CrashFleet(Fleet):
    """Upstreams crash as they begin to run the upload with the body POISON."""

    crashes = []

    async def on_run(self, upstream, run, writer):
        body, run["body"] = run["body"], None
        if not TROUBLE or body != POISON:
            return False
        self.crashes.append((run["t"], run["id"], upstream.id))
        self.log(f"crash {len(self.crashes)}: {upstream.id} began to run id={run['id']}")
        await upstream.crash(BACK_S)
        return True


async def case(fleet):
    routes = {"r-doc": route("/doc/", "upload", "fascicoli", timeout_s=6.0)}
    config = configuration(1, routes, ["fascicoli"], {"sese880": tenant([KEY])})
    await fleet.start(2, 4, ["fascicoli"], config)
    upload = lambda daemon, body: fleet.request(daemon, "PUT", "/doc/2f", KEY, body, deadline_ms=4000)
    for daemon in fleet.daemons:
        await fleet.wait_serving(daemon, "PUT", "/doc/30", KEY, b"start")

    # One upload after the other of the same caller to the same path; each second one is the one that
    # crashes upstreams, sent again.
    counted, n, end = [], 0, now() + 45.0
    while now() < end:
        daemon = fleet.daemons[n % len(fleet.daemons)]
        sent = now()
        rid, _, _ = await upload(daemon, POISON)
        if len(fleet.crashes) > 3 and sent > fleet.crashes[2][0] + STABLE_S and fleet.run_count(rid):
            counted.append((daemon.host, rid))
        await asyncio.sleep(0.6)
        n += 1
        await upload(fleet.daemons[n % len(fleet.daemons)], b"%08d" % n + b"G" * SIZE)
        await asyncio.sleep(0.6)
    if TROUBLE and len(fleet.crashes) < 3:
        fleet.log("the upload crashed fewer than three upstreams")
    for host, rid in counted:
        fleet.log(f"reached an upstream in a later retry: {rid} through {host}")
    fleet.log(f"crashes: {len(fleet.crashes)}")
    fleet.log(f"retries that reached upstreams later than stableS after the third crash: {len(counted)}, "
              f"allowed {MAX_RETRIES}")
    return BROKEN if len(counted) > MAX_RETRIES else HELD


play(CrashFleet, HERE, case)
