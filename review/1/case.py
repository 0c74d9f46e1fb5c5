"""RECOVER: all processes are killed, three machines of each zone do not come back, and nothing is served again."""
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from fleet import Client, Fleet, Record, Upstream, configuration, now, route  # noqa: E402
import time  # noqa: E402

# 1: the final fault, after which some machines stay away. 0: no fault. all: the final fault, and all come back.
TROUBLE = os.environ.get("TROUBLE", "1")
HOST, KEY = "shop.example", "ctnfzs989anu6wsjnban"
RECOVER_S = 15
ZONES = ["tas-hobart", "tas-launceston", "tas-devonport"]
MACHINES = 4
# The machines of each zone, from the one that would take over its slice first to the one that would last. The
# machine that comes back is the last one that does not hold the slice.
ORDER = {"tas-hobart": [4, 1, 2, 3], "tas-launceston": [2, 1, 3, 4], "tas-devonport": [3, 4, 1, 2]}


def survivor(fleet, zone):
    holder = (fleet.store.get("slices", zone) or {}).get("host", "")
    others = [n for n in ORDER[zone] if f"front-{zone}-{n}" != holder]
    return f"front-{zone}-{others[-1]}", holder


def send_for(client, daemons, seconds):
    """Sends 20 requests a second; returns how many were sent and served, and the other statuses."""
    end, sent, served, others = now() + seconds, 0, 0, {}
    while now() < end:
        res = client.send(daemons[sent % len(daemons)], "POST", "/book/x", HOST, KEY, body=b"book")
        sent += 1
        if res[1] == 200:
            served += 1
        else:
            others[res[1]] = others.get(res[1], 0) + 1
        time.sleep(0.05)
    return sent, served, others


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(ZONES)
    try:
        for i in range(6):
            Upstream(fleet.store, "one", f"i-{i}", ZONES[i % 3], record).register()
        routes = {"r-book": route("r-book", HOST, "/book/", "one")}
        tenants = {"t1": {"name": "t1", "apiKeys": [KEY], "priority": 1, "ratePerS": 100,
                          "burst": 100}}
        fleet.store.put("op", "config", configuration(1, routes, ["one"], tenants))
        daemons = [fleet.add(zone, n, bootstrap=True)
                   for zone in ZONES for n in range(1, MACHINES + 1)]
        if not fleet.wait_ready(daemons):
            record("the daemons did not become ready")
            return 2
        client = Client(record)
        time.sleep(8)
        before = send_for(client, daemons, 10)
        record(f"before: sent, served, others: {before}")
        if before[1] * 4 < before[0]:
            record("less than a quarter was served before the fault")
            return 2
        back = daemons
        if TROUBLE != "0":
            routes["r-book"]["timeoutS"] = 1.5
            fleet.store.put("op", "config", configuration(2, routes, ["one"], tenants))
            for d in daemons:
                d.kill()
            record(f"killed all {len(daemons)} daemons")
            if TROUBLE != "all":
                chosen = {zone: survivor(fleet, zone) for zone in ZONES}
                record(f"machine that comes back, holder of the slice: {chosen}")
                names = [name for name, _ in chosen.values()]
                back = [d for d in daemons if d.node in names]
            time.sleep(1)
            for d in back:
                d.start()
            record(f"started again: {[d.node for d in back]}")
        if not fleet.wait_ready(back):
            record("the daemons did not become ready again")
        time.sleep(RECOVER_S)
        after = send_for(client, back, 15)
        record(f"later than {RECOVER_S} s after the machines were back: sent, served, others: {after}")
        return 1 if after[1] * 4 < after[0] else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
