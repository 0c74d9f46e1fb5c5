"""CONFIG: a restarted daemon takes an old configuration for the newest, and a withdrawn key works again."""
import json
import os
import signal
import socket
import sys
import threading

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from fleet import Client, Fleet, Record, Upstream, configuration, now, route  # noqa: E402
import time  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, KEY, WITHDRAWN = "shop.example", "ctnfzs989anu6wsjnban", "fqasnmgkcuyj8pjbvk9m"
REVOKE_S, STABLE_S = 5, 3
# The daemons of the zone in the order in which they read the store for the others.
FIRST, SECOND, THIRD = 2, 1, 3
# Time for which a daemon does not ask one that did not answer.
LEFT_OUT_S = 10.0
GAP_S = 0.33            # pause between the configurations
CUT_S = 0.68            # the second daemon is cut off from the store


class Link:
    """A machine's path to the store. While it is cut, bytes are held up; then they go on."""

    def __init__(self, target):
        self.target = target
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        self.open.wait()
        host, port = self.target.split(":")
        try:
            other = socket.create_connection((host, int(port)))
        except OSError:
            return sock.close()
        for a, b in ((sock, other), (other, sock)):
            threading.Thread(target=self._pump, args=(a, b), daemon=True).start()

    def _pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self.open.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pass


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(["a"])
    try:
        upstream = Upstream(fleet.store, "one", "i-1", "a", record)
        upstream.register()
        link = Link(fleet.store.addr)

        def configure(version, keys, timeout_s):
            routes = {"r": route("r", HOST, "/book/", "one", timeout_s=timeout_s)}
            tenants = {"t1": {"name": "t1", "apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}}
            fleet.store.put("op", "config", configuration(version, routes, ["one"], tenants))
            record(f"acknowledged configuration {version}, keys {keys}")
            return now()

        configure(1, [KEY, WITHDRAWN], 2.0)
        second = fleet.add("a", SECOND, bootstrap=True, store_addr=link.addr)
        first, third = (fleet.add("a", n, bootstrap=True) for n in (FIRST, THIRD))
        if not fleet.wait_ready(fleet.daemons):
            return 2
        time.sleep(STABLE_S + 3)

        if TROUBLE:
            record(f"{first.node} is stopped and started again")
            lost, stopped = None, time.time()
            first.signal(signal.SIGTERM)
            first.process.wait(10)
            time.sleep(0.5)
            first.start()
            while lost is None:
                time.sleep(0.05)
                with open(second.log) as f:
                    for line in f:
                        if "reader did not respond" in line and first.node in line:
                            at = json.loads(line)["at_ms"] / 1000
                            if at > stopped:
                                lost = at
                                break
            again = lost + LEFT_OUT_S
            time.sleep(max(0, again - 0.05 - 2 * GAP_S - time.time()))
        configure(2, [KEY, WITHDRAWN], 1.8)
        time.sleep(GAP_S - 0.02)
        if TROUBLE:
            link.open.clear()
            record(f"{second.node} is cut off from the store")
            cut_at = time.time()
        time.sleep(0.02)
        configure(3, [KEY, WITHDRAWN], 1.5)
        time.sleep(GAP_S)
        acknowledged = configure(4, [KEY], 1.5)
        if TROUBLE:
            time.sleep(max(0, cut_at + CUT_S - time.time()))
            link.open.set()
            record(f"{second.node} reaches the store again")
            time.sleep(3)
            record(f"{first.node} is stopped and started again")
            first.signal(signal.SIGTERM)
            first.process.wait(10)
            first.start()
        time.sleep(4)
        if not fleet.wait_ready(fleet.daemons):
            record("not all daemons are ready")
        time.sleep(max(0, acknowledged + REVOKE_S + 5 - now()))
        client = Client(record)
        broken = 0
        for _ in range(10):
            for d in fleet.daemons:
                own = client.send(d, "POST", "/book/x", HOST, KEY, body=b"x")
                res = client.send(d, "POST", "/book/x", HOST, WITHDRAWN, body=b"x")
                if any(r[0] == res[0] for r in upstream.runs):
                    broken += 1
                    record(f"run with the withdrawn key at {d.node},"
                           f" {now() - acknowledged:.1f} s after the acknowledgement")
                if own[1] != 200:
                    record(f"{d.node} answered {own[1]} to a valid key")
            time.sleep(1)
        record(f"requests with the withdrawn key that ran: {broken} of 30")
        return 1 if broken else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
