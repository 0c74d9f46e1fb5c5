"""Stand-ins for the review's scripts: the platform's store, upstreams, a client and the daemons.

They use the standard library only and loopback addresses only. The store and the upstreams follow
PROTOCOL.md; the daemons are the program and the settings template of the deploy file.
"""
import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPO, "target", "release", "chervillug")
STARTED = time.monotonic()


def now():
    """Seconds since the script started."""
    return time.monotonic() - STARTED


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


class Conn:
    """One HTTP/1.1 connection of a server."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def _fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buf += data

    def read_head(self):
        while b"\r\n\r\n" not in self.buf:
            self._fill()
        head, self.buf = self.buf.split(b"\r\n\r\n", 1)
        first, *rest = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in rest:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    def read_exactly(self, n):
        while len(self.buf) < n:
            self._fill()
        data, self.buf = self.buf[:n], self.buf[n:]
        return data

    def read_body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.buf:
                    self._fill()
                size, self.buf = self.buf.split(b"\r\n", 1)
                n = int(size.split(b";")[0], 16)
                body += self.read_exactly(n)
                self.read_exactly(2)
                if n == 0:
                    return body
        return self.read_exactly(int(headers.get("content-length", "0")))


def answer(sock, status, headers, body=b"", reason="X"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode("latin-1") + body)


class Server:
    """A threaded server on a loopback address."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(512)
        self.ip, self.port = self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def addr(self):
        return f"{self.ip}:{self.port}"

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        try:
            self.serve(Conn(sock))
        except (OSError, EOFError, ValueError):
            pass
        finally:
            try:
                sock.close()
            except OSError:
                pass

    def serve(self, conn):
        raise NotImplementedError


class Store(Server):
    """The platform's store: versioned rows in tables, with a feed of changes."""

    def __init__(self, ip="127.0.0.1"):
        self.rows = {}
        self.ver = 0
        self.cond = threading.Condition()
        super().__init__(ip)

    def put(self, table, key, value, part=""):
        with self.cond:
            self.ver += 1
            self.rows[(table, part, key)] = (json.dumps(value).encode(), self.ver)
            self.cond.notify_all()

    def remove(self, table, key, part=""):
        with self.cond:
            self.ver += 1
            self.rows[(table, part, key)] = (None, self.ver)
            self.cond.notify_all()

    def get(self, table, key, part=""):
        with self.cond:
            value = self.rows.get((table, part, key), (None, 0))[0]
        return json.loads(value) if value is not None else None

    @staticmethod
    def _row(name, row):
        out = {"table": name[0], "part": name[1], "key": name[2], "ver": row[1]}
        if row[0] is None:
            out["removed"] = True
        else:
            out["value"] = base64.b64encode(row[0]).decode()
        return out

    def _read(self, q):
        table, part = q.get("table", ""), q.get("part", "")
        start, end = q.get("from", ""), q.get("to")
        limit = int(q.get("limit", 500))
        with self.cond:
            names = sorted(n for n, r in self.rows.items()
                           if n[0] == table and n[1] == part and r[0] is not None
                           and n[2] >= start and (end is None or n[2] < end))
            rows = [self._row(n, self.rows[n]) for n in names]
            return 200, {"rows": rows[:limit], "truncated": len(rows) > limit,
                         "ver": self.ver, "nowS": now()}

    def _feed(self, q):
        table, after = q.get("table", ""), int(q.get("after", 0))
        end = time.monotonic() + min(int(q.get("waitMs", 0)), 30000) / 1000
        with self.cond:
            while True:
                names = [n for n, r in self.rows.items() if n[0] == table and r[1] > after]
                left = end - time.monotonic()
                if names or left <= 0:
                    names.sort(key=lambda n: self.rows[n][1])
                    return 200, {"rows": [self._row(n, self.rows[n]) for n in names],
                                 "ver": self.ver, "nowS": now()}
                self.cond.wait(left)

    def _tx(self, body):
        tx = json.loads(body)
        name = lambda e: (e["table"], e.get("part", ""), e["key"])
        with self.cond:
            for e in tx.get("expect", []):
                row = self.rows.get(name(e))
                ver = row[1] if row and row[0] is not None else 0
                if ver != e.get("ver", 0):
                    rows = [self._row(name(x), self.rows[name(x)])
                            for x in tx["expect"] if name(x) in self.rows]
                    return 412, {"rows": rows, "ver": self.ver, "nowS": now()}
            if any(p["table"] in ("op", "servers") for p in tx.get("puts", [])):
                return 403, {}
            self.ver += 1
            for p in tx.get("puts", []):
                self.rows[name(p)] = (base64.b64decode(p["value"]), self.ver)
            for d in tx.get("deletes", []):
                self.rows[name(d)] = (None, self.ver)
            self.cond.notify_all()
            return 200, {"ver": self.ver, "nowS": now()}

    def serve(self, conn):
        while True:
            first, headers = conn.read_head()
            body = conn.read_body(headers)
            path, _, query = first.split()[1].partition("?")
            q = {}
            for pair in query.split("&"):
                k, _, v = pair.partition("=")
                q[k] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), v)
            if path == "/rows-get":
                status, out = self._read(q)
            elif path == "/rows-feed":
                status, out = self._feed(q)
            elif path == "/rows-tx":
                status, out = self._tx(body)
            else:
                status, out = 404, {}
            answer(conn.sock, status, [("Content-Type", "application/json")],
                   json.dumps(out).encode())
            if headers.get("connection", "").lower() == "close":
                return


class Upstream(Server):
    """A sound upstream, which takes `work_s` for each request and records what it ran."""

    def __init__(self, store, service, ident, zone, record, slots=8, work_s=0.02,
                 ip="127.0.0.1", port=0):
        self.store, self.service, self.ident, self.zone = store, service, ident, zone
        self.record, self.slots, self.work_s = record, slots, work_s
        self.runs = []
        self.heads = []
        self.seq = 0
        self.born = int(time.time() * 1000)
        super().__init__(ip, port)

    def register(self, state="ready"):
        self.seq += 1
        self.store.put("servers", self.ident, {
            "backend": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "warmupLeftS": 0.0, "seq": self.seq,
            "born": self.born})

    def serve(self, conn):
        while True:
            first, headers = conn.read_head()
            method, path, _ = first.split()
            ident = headers.get("x-request-id")
            if path != "/healthz":
                self.heads.append(ident)
                self.record(f"arrived {ident} {method} {path} at {self.ident}")
            body = conn.read_body(headers)
            own = [("X-Request-Id", ident)] if ident else []
            if path == "/healthz":
                answer(conn.sock, 200, [("X-Instance-Id", self.ident)])
                continue
            if headers.get("x-target-instance", self.ident) != self.ident:
                answer(conn.sock, 421, own)
                continue
            if not ident:
                answer(conn.sock, 400, [("X-Not-Executed", "1")])
                continue
            self.runs.append((ident, now(), method, path, headers, body))
            self.record(f"run {ident} {method} {path} at {self.ident}"
                        f" tenant={headers.get('x-tenant')} body={len(body)}")
            self.run(conn, ident, headers, body)

    def run(self, conn, ident, headers, body):
        time.sleep(self.work_s)
        answer(conn.sock, 200, [("X-Request-Id", ident), ("X-Server-Signature", f"s.{ident}"),
                                ("X-Server-Load", f"0,0,{self.slots}")], ident.encode(), "OK")


def configuration(version, routes, services, tenants, limits=None):
    """A configuration as the operator writes it."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {s: {"name": s, "healthPath": "/healthz"} for s in services},
        "tenants": tenants,
        "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                             "headerTimeoutS": 5.0, "idleTimeoutS": 30.0},
    }


def route(name, host, prefix, backend, kind="unsafe", attempts=2, timeout_s=2.0, anonymous=False):
    return {"name": name, "host": host, "prefix": prefix, "type": kind, "backend": backend,
            "attempts": attempts, "timeoutS": timeout_s, "sloS": 0.5, "priority": 1,
            "anonymous": anonymous}


class Daemon:
    """One daemon, started with the command and the settings of the deploy file."""

    def __init__(self, fleet, zone, number, store_addr=None):
        self.fleet, self.zone = fleet, zone
        self.node = f"front-{zone}-{number}"
        fleet.last_ip += 1
        self.ip = f"127.{fleet.net}.{fleet.last_ip // 250}.{fleet.last_ip % 250 + 1}"
        self.front, self.ready_port, self.peer = (free_port(self.ip) for _ in range(3))
        self.store_addr = store_addr or fleet.store.addr
        self.settings = os.path.join(fleet.folder, f"{self.node}.json")
        self.log = os.path.join(fleet.folder, f"{self.node}.log")
        self.process = None

    def render(self, bootstrap):
        with open(os.path.join(REPO, "deploy", "front.json.template")) as f:
            text = f.read()
        zones = self.fleet.zones
        text = text.replace('{{#zones}}"{{@}}"{{,}}{{/zones}}', ", ".join(f'"{z}"' for z in zones))
        text = text.replace("{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}",
                            "true" if bootstrap else "false")
        values = {
            "node": self.node, "zone": self.zone, "ip": self.ip,
            "listen.front": f"{self.ip}:{self.front}", "listen.ready": f"{self.ip}:{self.ready_port}",
            "portRange.0": str(self.peer), "provider.addr": self.store_addr,
            "bounds.revokeS": "5", "bounds.graceS": "6", "bounds.floorShare": "0.7",
            "bounds.quotaSlack": "20",
        }
        text = re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", lambda m: values[m.group(1)], text)
        with open(self.settings, "w") as f:
            f.write(text)

    def start(self, bootstrap=False):
        self.render(bootstrap)
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["CHERVILLUG_CONFIG"] = self.settings
        out = open(self.log, "a")
        self.process = subprocess.Popen([PROGRAM, "front"], cwd=REPO, env=env, stdout=out,
                                        stderr=subprocess.STDOUT)
        out.close()

    def signal(self, sig):
        if self.process and self.process.poll() is None:
            self.process.send_signal(sig)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        if not self.process or self.process.poll() is not None:
            return False
        try:
            c = http.client.HTTPConnection(self.ip, self.ready_port, timeout=1)
            c.request("GET", "/ready")
            status = c.getresponse().status
            c.close()
            return status == 200
        except OSError:
            return False


class Fleet:
    """A store, its daemons and a folder for their files."""

    def __init__(self, zones):
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = 20 + os.getpid() % 200
        self.last_ip = 0
        self.store = Store()
        self.daemons = []

    def add(self, zone, number, bootstrap=False, store_addr=None):
        d = Daemon(self, zone, number, store_addr)
        self.daemons.append(d)
        d.start(bootstrap)
        return d

    def wait_ready(self, daemons, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(d.is_ready() for d in daemons):
                return True
            time.sleep(0.1)
        return False

    def stop(self):
        for d in self.daemons:
            d.signal(signal.SIGCONT)
            d.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """Sends requests as the platform's clients do, each with an id of its own."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.lock = threading.Lock()

    def next_id(self):
        with self.lock:
            self.count += 1
            return f"{os.getpid():06x}{self.count:010x}"

    def send(self, daemon, method, path, host, key, body=b"", deadline_ms=2500, conn=None,
             headers=None, ident=None):
        """Returns (id, status, headers, body); the status is 0 without a complete answer."""
        ident = ident or self.next_id()
        own = conn is None
        conn = conn or http.client.HTTPConnection(daemon.ip, daemon.front,
                                                  timeout=deadline_ms / 1000 + 1)
        head = {"Host": host, "X-Request-Id": ident, "X-Deadline-Ms": str(deadline_ms)}
        if key:
            head["Authorization"] = f"Token {key}"
        head.update(headers or {})
        self.record(f"sent {ident} {method} {path} to {daemon.node}")
        try:
            conn.request(method, path, body=body or None, headers=head)
            res = conn.getresponse()
            got = res.read()
            out = (ident, res.status, {k.lower(): v for k, v in res.getheaders()}, got)
        except (OSError, http.client.HTTPException) as e:
            self.record(f"no answer {ident}: {type(e).__name__} {e}")
            out = (ident, 0, {}, b"")
        else:
            self.record(f"answer {ident} {out[1]} {out[3][:200]!r}")
        if own:
            conn.close()
        return out
