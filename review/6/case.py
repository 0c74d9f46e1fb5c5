"""LOST: one malformed number in a header of spoiled answers ends every daemon of the fleet.

Three daemons, one in each zone, serve two services. The six upstreams of `checks` hand out wrong bytes in
one of 50 answers for five seconds; the upstreams of `orders` are sound. Callers of `orders` keep their
connections. The check counts requests on kept connections that a sound upstream of `orders` began to run
and whose connection was closed without an answer.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet2 import Fleet, ZONES, configuration, exchange, now, request_headers, route, run_case, send

KEY = "ctnfzs989anu6wsjnban"
GARBLE_S = 5.0
SPOILED_EACH = 50
MAX_LOST = 3


async def case(record, trouble):
    fleet = Fleet(record)
    await fleet.store.start(fleet.next_ip())
    tasks = []
    try:
        routes = {"r-check": route("/check/", "safe", "checks"), "r-order": route("/order/", "unsafe", "orders")}
        tenants = {"mill": {"apiKeys": [KEY], "priority": 1, "ratePerS": 1000, "burst": 1000}}
        fleet.store.put("op", "config", configuration(7, routes, ["checks", "orders"], tenants))
        checks = [await fleet.add_upstream("checks", "i-c%d" % i, ZONES[i % 3]) for i in range(6)]
        for i in range(6):
            await fleet.add_upstream("orders", "i-o%d" % i, ZONES[i % 3], slots=8, work_s=0.3)
        for zone in ZONES:
            await fleet.add_daemon(zone)
        tasks.append(asyncio.create_task(fleet.beat()))
        await fleet.wait_ready()
        for daemon in fleet.daemons:
            while (await send(daemon.front, "GET", "/check/0", request_headers("w%f" % now(), KEY)))[0] != 200:
                await asyncio.sleep(0.1)
        record("the fleet serves")

        garbling = [False]
        answered = dict.fromkeys(checks, 0)

        async def spoil(upstream, method, path, headers, reader, writer):
            answered[upstream] += 1
            if not garbling[0] or answered[upstream] % SPOILED_EACH:
                return None
            ident = headers["x-request-id"]
            upstream.note_run(ident, method, path, headers, b"")
            record("spoiled answer to %s from %s" % (ident, upstream.ident))
            upstream.reply(writer, ident, b"done", more=b"Server-Limit: 1e-300\r\n")
            await writer.drain()
            return True

        for upstream in checks:
            upstream.behave = spoil

        lost = []

        async def order_caller(n):
            """Sends one order after the other on a kept connection."""
            front = fleet.daemons[n % len(fleet.daemons)].front
            connection, kept, sent = None, False, 0
            while True:
                try:
                    connection = connection or await asyncio.open_connection(*front)
                except OSError:
                    await asyncio.sleep(0.2)
                    continue
                sent += 1
                ident = "order-%d-%d" % (n, sent)
                record("sent %s" % ident)
                try:
                    answer = await exchange(*connection, "POST", "/order/%d" % sent, request_headers(ident, KEY), b"one")
                except (OSError, asyncio.IncompleteReadError):
                    answer = (None, None, b"")
                record("answer to %s: %s" % (ident, answer[0]))
                if answer[0] is None and kept:
                    lost.append(ident)
                kept = answer[0] is not None
                if answer[0] is None or answer[1].get("connection") == "close":
                    connection[1].close()
                    connection, kept = None, False

        async def check_caller(n):
            front, sent = fleet.daemons[n % len(fleet.daemons)].front, 0
            while True:
                sent += 1
                await send(front, "GET", "/check/%d" % sent, request_headers("check-%d-%d" % (n, sent), KEY))
                await asyncio.sleep(0.02)

        tasks += [asyncio.create_task(order_caller(n)) for n in range(18)]
        tasks += [asyncio.create_task(check_caller(n)) for n in range(9)]
        await asyncio.sleep(4)
        before = len(lost)
        garbling[0] = trouble
        record("the upstreams of checks garble: %s" % trouble)
        await asyncio.sleep(GARBLE_S)
        garbling[0] = False
        record("the upstreams of checks are sound again")
        await asyncio.sleep(3)
        ended = [d.name for d in fleet.daemons if d.process.returncode is not None]
        for daemon in fleet.daemons:
            record("%s: exit code %s" % (daemon.name, daemon.process.returncode))
            for line in open(daemon.log_path, errors="replace"):
                if "panicked" in line or "cannot convert" in line:
                    record("%s says: %s" % (daemon.name, line.strip()))
        ran = {run["id"] for u in fleet.upstreams if u.service == "orders" for run in u.runs}
        unanswered = [ident for ident in lost if ident in ran]
        record("%d daemons ended by themselves; %d orders that a sound upstream began were closed without an answer "
               "(%d before the disruption)" % (len(ended), len(unanswered), before))
        return len(unanswered) <= MAX_LOST
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(case, os.path.dirname(os.path.abspath(__file__)), TROUBLE)
