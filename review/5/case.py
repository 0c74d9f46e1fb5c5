"""DENIED: two upstreams crash at once, and a sound request is refused with 422 from then on."""
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from fleet import Client, Fleet, Record, Upstream, configuration, now, route  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402
import threading  # noqa: E402
import time  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEYS = {"t1": "ctnfzs989anu6wsjnban", "t2": "fqasnmgkcuyj8pjbvk9m"}
ZONES = ["a", "b", "c"]
UPSTREAMS, CRASHED = 14, 2      # srv_crash: share .15 of a service's upstreams
DOWN_S = 3.0
WORK_S = 0.25
WORKERS = 24
BEFORE_S, AFTER_S = 6, 25


class CrashingUpstream(Upstream):
    """An upstream that can crash: its connections are reset and its address refuses new ones."""

    def __init__(self, *args, **kw):
        self.open, self.busy, self.lock = set(), 0, threading.Lock()
        super().__init__(*args, **kw)

    def serve(self, conn):
        with self.lock:
            self.open.add(conn.sock)
        try:
            super().serve(conn)
        finally:
            with self.lock:
                self.open.discard(conn.sock)

    def run(self, conn, ident, headers, body):
        with self.lock:
            self.busy += 1
        try:
            super().run(conn, ident, headers, body)
        finally:
            with self.lock:
                self.busy -= 1

    def crash(self):
        # A listener that is shut down refuses connections at once.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for sock in list(self.open):
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(ZONES)
    try:
        upstreams = [CrashingUpstream(fleet.store, "one", f"i-{i}", ZONES[i % 3], record, slots=2,
                                      work_s=WORK_S) for i in range(UPSTREAMS)]
        for u in upstreams:
            u.register()
        routes = {"r": route("r", HOST, "/list/", "one", kind="safe")}
        tenants = {t: {"name": t, "apiKeys": [k], "priority": 1, "ratePerS": 500, "burst": 500}
                   for t, k in KEYS.items()}
        fleet.store.put("op", "config", configuration(1, routes, ["one"], tenants))
        daemons = [fleet.add(zone, n, bootstrap=True) for zone in ZONES for n in (1, 2)]
        if not fleet.wait_ready(daemons):
            return 2
        time.sleep(5)
        client = Client(record)
        results, lock = [], threading.Lock()
        end = now() + BEFORE_S + AFTER_S

        def work(n):
            # All callers of a tenant read the same page.
            while now() < end:
                res = client.send(daemons[n % len(daemons)], "GET", "/list/today", HOST, KEYS["t1"])
                with lock:
                    results.append((now(), res[1]))
                time.sleep(0.1 if res[1] == 200 else 0.4)

        threads = [threading.Thread(target=work, args=(n,), daemon=True) for n in range(WORKERS)]
        for t in threads:
            t.start()
        time.sleep(BEFORE_S)
        if TROUBLE:
            for u in sorted(upstreams, key=lambda u: -u.busy)[:CRASHED]:
                record(f"crash of {u.ident} with {u.busy} requests at work")
                u.crash()
                upstreams.remove(u)

                def back(u=u):
                    time.sleep(DOWN_S)
                    new = CrashingUpstream(fleet.store, "one", u.ident, u.zone, record, slots=2,
                                           work_s=WORK_S, port=u.port)
                    new.register()
                threading.Thread(target=back, daemon=True).start()
        for t in threads:
            t.join(AFTER_S + 10)
        by_second = {}
        for at, status in results:
            key = int(at // 5 * 5)
            by_second.setdefault(key, {}).setdefault(status, 0)
            by_second[key][status] += 1
        for second in sorted(by_second):
            record(f"from second {second}: {by_second[second]}")
        denied = sum(1 for _, s in results if 300 <= s < 500 and s not in (408, 421, 429))
        other = client.send(daemons[0], "GET", "/list/other", HOST, KEYS["t1"])
        record(f"another page of the same tenant: {other[1]}")
        limit = 5 + len(results) / 500
        record(f"requests {len(results)}, ended with a 3xx or 4xx of the fleet: {denied}"
               f" (DENIED: more than {limit:.0f})")
        return 1 if denied > limit else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
