"""REFUSED: a failure of a gray upstream reaches the caller as the promise that the request has not run.

Three daemons serve seven upstreams of `orders`. One of them fails two fifths of its requests for some
seconds: it runs the request and then answers 503 with its signature, and without `X-Not-Executed`. The
callers behave as PROTOCOL.md says: they repeat an order only after a promise, as a new attempt with an id of
its own. The check counts orders that were answered 429, 503, 408 or 421 and that an upstream began to run.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from fleet2 import Fleet, ZONES, configuration, now, read_body, request_headers, route, run_case, send

KEY = "ctnfzs989anu6wsjnban"
PROMISES = (429, 503, 408, 421)
GREY_S = 6.5
FAILING_SHARE = 0.4
MAX_TRIES = 3


async def case(record, trouble):
    fleet = Fleet(record)
    await fleet.store.start(fleet.next_ip())
    tasks = []
    try:
        routes = {"r-order": route("/order/", "unsafe", "orders")}
        tenants = {"mill": {"apiKeys": [KEY], "priority": 1, "ratePerS": 1000, "burst": 1000}}
        fleet.store.put("op", "config", configuration(7, routes, ["orders"], tenants))
        for i in range(7):
            await fleet.add_upstream("orders", "i-o%d" % i, ZONES[i % 3], slots=4, work_s=0.1)
        for zone in ZONES:
            await fleet.add_daemon(zone)
        tasks.append(asyncio.create_task(fleet.beat()))
        await fleet.wait_ready()
        for daemon in fleet.daemons:
            while (await send(daemon.front, "POST", "/order/0", request_headers("w%f" % now(), KEY), b"warm"))[0] != 200:
                await asyncio.sleep(0.1)
        record("the fleet serves")

        grey, seen = [False], [0]

        async def fail(upstream, method, path, headers, reader, writer):
            seen[0] += 1
            if not grey[0] or int(seen[0] * FAILING_SHARE) == int((seen[0] - 1) * FAILING_SHARE):
                return None
            body = await read_body(reader, headers)
            ident = headers["x-request-id"]
            upstream.note_run(ident, method, path, headers, body)
            await asyncio.sleep(upstream.work_s)
            record("failure of %s after it ran %s: 503 with its signature" % (upstream.ident, ident))
            upstream.reply(writer, ident, b"the order was booked, its receipt failed", status=503)
            await writer.drain()
            return True

        fleet.upstreams[0].behave = fail
        answers, orders = {}, {}

        async def caller(n):
            front, sent = fleet.daemons[n % len(fleet.daemons)].front, 0
            while True:
                sent += 1
                order = "order-%d-%d" % (n, sent)
                for attempt in range(1, MAX_TRIES + 1):
                    ident = "%s.%d" % (order, attempt)
                    orders.setdefault(order, []).append(ident)
                    record("sent %s" % ident)
                    status, head, _ = await send(front, "POST", "/order/%d" % sent, request_headers(ident, KEY),
                                                 order.encode())
                    answers[ident] = (status, isinstance(head, dict) and "x-server-signature" in head)
                    record("answer to %s: %s" % (ident, status))
                    if status not in PROMISES:
                        break
                    await asyncio.sleep(float(head.get("retry-after", 0)) if isinstance(head, dict) else 0)
                await asyncio.sleep(0.05)

        tasks += [asyncio.create_task(caller(n)) for n in range(9)]
        await asyncio.sleep(3)
        grey[0] = trouble
        record("i-o0 fails part of its requests: %s" % trouble)
        await asyncio.sleep(GREY_S)
        grey[0] = False
        record("i-o0 is sound again")
        await asyncio.sleep(2)
        ran = {run["id"] for u in fleet.upstreams for run in u.runs}
        false_promises = [i for i, (status, _) in answers.items() if status in PROMISES and i in ran]
        twice = [o for o, attempts in orders.items() if sum(i in ran for i in attempts) > 1]
        record("%d orders answered with a promise had run, e.g. %s; %d orders ran more than once as their callers "
               "trusted it" % (len(false_promises), false_promises[:3], len(twice)))
        return not false_promises
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run_case(case, os.path.dirname(os.path.abspath(__file__)), TROUBLE)
