"""Stand-ins for the script cases of the second review: the platform's store and operator, upstreams,
clients, a link that delays or drops, and a fleet of the project's own daemons.

Everything listens on loopback addresses. The daemons are started with the command of the deploy file;
their settings are rendered from the project's template.
"""

import asyncio
import base64
import json
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "chervillug")
TEMPLATE = os.path.join(ROOT, "deploy", "front.json.template")
ZONES = ["zone-a", "zone-b", "zone-c"]
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


def reset(writer):
    """Resets a connection, so that the other end does not take it for a clean end."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Reads a head; returns its first line and headers, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    """Reads a whole body; raises IncompleteReadError if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


class Store:
    """The platform's store: rows with versions, transactions, a feed of changes."""

    def __init__(self):
        self.rows, self.ver, self.log = {}, 0, []
        self.changed = asyncio.Event()
        self.down = False

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 24)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or an upstream; returns its version."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.commit([(table, part, key, value)])
        return self.ver

    def delete(self, table, key, part=""):
        self.commit([(table, part, key, None)])

    def commit(self, changes):
        self.ver += 1
        for table, part, key, value in changes:
            row = {"table": table, "part": part, "key": key, "ver": self.ver}
            if value is None:
                self.rows.pop((table, part, key), None)
                row["removed"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
                self.rows[(table, part, key)] = row
            self.log.append(row)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def stamp(self, body):
        body.update(ver=self.ver, nowS=now())
        return body

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if self.down:
                    status, answer = 503, {}
                else:
                    status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        from urllib.parse import urlsplit, parse_qs
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if url.path == "/rows-tx":
            return self.transaction(json.loads(body))
        if url.path == "/rows-get":
            found = [r for (t, p, k), r in self.rows.items()
                     if t == query["table"] and p == query.get("part", "") and k >= query.get("from", "")]
            found.sort(key=lambda r: r["key"])
            return 200, self.stamp({"rows": found[:500], "truncated": len(found) > 500})
        if url.path == "/rows-feed":
            end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                after = int(query["after"])
                rows = [r for r in self.log if r["table"] == query["table"] and r["ver"] > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.stamp({"rows": rows})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/rows-parts":
            parts = sorted({p for (t, p, _) in self.rows if t == query["table"]})
            return 200, self.stamp({"parts": parts, "truncated": False})
        return 404, {}

    def transaction(self, req):
        at = lambda e: self.rows.get((e["table"], e.get("part", ""), e["key"]))
        for entry in req.get("expect", []):
            row = at(entry)
            if (row["ver"] if row else 0) != entry["ver"]:
                return 412, self.stamp({"rows": [at(e) for e in req["expect"] if at(e)]})
        if any(e["table"] in ("op", "servers") for e in req.get("puts", [])):
            return 403, {}
        self.commit([(e["table"], e.get("part", ""), e["key"], base64.b64decode(e["value"]))
                     for e in req.get("puts", [])]
                    + [(e["table"], e.get("part", ""), e["key"], None) for e in req.get("deletes", [])])
        return 200, self.stamp({})


class Upstream:
    """A sound upstream; `behave` may change how it answers one request."""

    def __init__(self, store, service, ident, zone, record, slots=4, work_s=0.02):
        self.store, self.service, self.ident, self.zone = store, service, ident, zone
        self.record, self.slots, self.work_s = record, slots, work_s
        self.runs, self.behave, self.seq, self.state = [], None, 0, "ready"
        self.writers = set()
        self.born = int(time.time() * 1000)

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.register()

    def register(self, state="ready"):
        self.seq += 1
        self.state = state
        self.store.put("servers", self.ident, {
            "backend": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "warmupLeftS": 0, "seq": self.seq, "born": self.born})

    def crash(self):
        """Ends the upstream at once: its port refuses, and all its connections are reset."""
        self.state = "gone"
        self.server.close()
        for writer in self.writers:
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if await self.one(head, reader, writer) is False or self.state == "gone":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def one(self, head, reader, writer):
        method, path, _ = head[0].split(" ", 2)
        headers = head[1]
        if path == "/healthz":
            writer.write(b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.ident.encode())
            return True
        ident = headers.get("x-request-id", "")
        wanted = headers.get("x-target-instance")
        if wanted is not None and wanted != self.ident:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" % (self.ident.encode(), ident.encode()))
            self.record("reject 421 %s at %s" % (ident, self.ident))
            return False
        if self.behave is not None:
            done = await self.behave(self, method, path, headers, reader, writer)
            if done is not None:
                return done
        body = await read_body(reader, headers)
        self.note_run(ident, method, path, headers, body)
        await asyncio.sleep(self.work_s)
        self.reply(writer, ident, b"done " + ident.encode())
        await writer.drain()
        return True

    def note_run(self, ident, method, path, headers, body):
        self.runs.append({"id": ident, "at": now(), "method": method, "path": path,
                          "tenant": headers.get("x-tenant"), "body": len(body)})
        self.record("run %s at %s (%s), tenant %s, %s %s, %d bytes"
                    % (ident, self.ident, self.service, headers.get("x-tenant"), method, path, len(body)))

    def reply(self, writer, ident, body, status=200, more=b""):
        writer.write(b"HTTP/1.1 %d OK\r\nX-Request-Id: %s\r\nX-Server-Signature: s.%s\r\nX-Server-Load: 1,0,%d\r\n%s"
                     b"Content-Length: %d\r\n\r\n"
                     % (status, ident.encode(), ident.encode(), self.slots, more, len(body)) + body)


class Link:
    """A link to one address, which can delay, hold back (`silent`), refuse or reset."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target, self.delay, self.silent, self.refuse = (host, int(port)), 0.0, False, False
        self.writers = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        if self.refuse:
            reset(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.silent:
                    await asyncio.sleep(0.05)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            reset(writer)


def render(fields):
    """Renders the project's settings template with the platform's fields."""
    text = open(TEMPLATE).read()

    def value(path, scope):
        for part in path.split("."):
            scope = scope.get(part) if isinstance(scope, dict) else scope[int(part)] if scope else None
            if scope is None:
                return None
        return scope

    def show(v):
        if v is None:
            return ""
        return json.dumps(v) if isinstance(v, (bool, dict)) else ",".join(map(str, v)) if isinstance(v, list) else str(v)

    def section(match):
        kind, name, inner = match.group(1), match.group(2), match.group(3)
        v = value(name, fields)
        if kind == "^":
            return inner if v in (None, False) else ""
        if isinstance(v, dict):
            keys = list(v)
            return "".join(inner.replace("{{@}}", k).replace("{{,}}", "," if i + 1 < len(keys) else "")
                           for i, k in enumerate(keys))
        return inner if v not in (None, False) else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(value(m.group(1), fields)), text)


class Daemon:
    """One machine with a daemon of the project."""

    def __init__(self, fleet, name, zone, ip, store):
        self.fleet, self.name, self.zone, self.ip, self.store = fleet, name, zone, ip, store
        self.process, self.starts = None, 0
        self.settings = os.path.join(fleet.folder, name + ".json")
        self.log_path = os.path.join(fleet.folder, name + ".log")
        self.front = (ip, fleet.ports[0])
        self.ready = (ip, fleet.ports[1])

    def write_settings(self):
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.ip, "zones": {z: "region" for z in self.fleet.zones},
            "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready},
            "portRange": [self.fleet.ports[2], self.fleet.ports[2]], "bootstrap": self.starts == 0 and self.fleet.first,
            "provider": {"addr": self.store}, "bounds": self.fleet.bounds,
        }
        with open(self.settings, "w") as f:
            f.write(render(fields))

    async def start(self):
        self.write_settings()
        self.starts += 1
        env = {"PATH": os.environ.get("PATH", ""), "CHERVILLUG_CONFIG": self.settings}
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "front", cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


def free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    for s in socks:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


# The bounds of the site file mmrc-gateway, as far as the template asks for them.
BOUNDS = {"revokeS": 5, "graceS": 6, "floorShare": 0.7, "quotaSlack": 20, "retryRatio": 0.2, "retrySlack": 58}


class Fleet:
    """Daemons, a store and upstreams."""

    def __init__(self, record, zones=ZONES, bounds=None, first=True):
        self.record, self.zones, self.first = record, zones, first
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.folder = tempfile.mkdtemp(prefix="chervillug-review-")
        self.net = 1 + secrets.randbelow(250)
        self.ports = free_ports(3)
        self.store, self.daemons, self.upstreams, self.hosts = Store(), [], [], 0

    def next_ip(self):
        self.hosts += 1
        return "127.77.%d.%d" % (self.net, self.hosts)

    async def add_upstream(self, service, ident, zone=None, **more):
        up = Upstream(self.store, service, ident, zone or self.zones[0], self.record, **more)
        await up.start(self.next_ip())
        self.upstreams.append(up)
        return up

    async def add_daemon(self, zone, store=None):
        name = "front-%s-%d" % (zone, len(self.daemons) + 1)
        daemon = Daemon(self, name, zone, self.next_ip(), store or self.store.address)
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    async def wait_ready(self, limit=15):
        end = now() + limit
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if now() > end:
                    raise NotRun("%s is not ready" % daemon.name)
                await asyncio.sleep(0.05)

    async def beat(self):
        """The upstreams' heartbeats."""
        while True:
            await asyncio.sleep(1.5)
            for up in self.upstreams:
                if up.state == "ready":
                    up.register()

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.signal(signal.SIGCONT)
                await daemon.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    """The case could not run."""


async def send(address, method, path, headers, body=b"", timeout=10.0):
    """Sends one request on a new connection; returns (status, headers, body) or (None, reason, b"")."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address, limit=1 << 22), 1)
    except (OSError, asyncio.TimeoutError) as e:
        return None, "connect: %r" % e, b""
    try:
        return await asyncio.wait_for(exchange(reader, writer, method, path, headers, body), timeout)
    except asyncio.TimeoutError:
        return None, "no answer", b""
    except (OSError, asyncio.IncompleteReadError) as e:
        return None, "closed: %r" % e, b""
    finally:
        writer.close()


async def exchange(reader, writer, method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)] + ["%s: %s" % h for h in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = await read_head(reader)
    if head is None:
        return None, "closed without an answer", b""
    status = int(head[0].split(" ")[1])
    return status, head[1], await read_body(reader, head[1], until_close=True)


def configuration(version, routes, services, tenants, limits=None):
    """A configuration as the operator writes it."""
    config = {"version": "%08x" % version, "routes": routes,
              "services": {s: {"healthPath": "/healthz", "maxConns": 330, "protocol": "h1", "tls": False}
                           for s in services},
              "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 10 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15}}
    if tenants is not None:
        config["tenants"] = tenants
    return config


def route(prefix, kind, service, timeout_s=3, anonymous=False, attempts=2, priority=1):
    return {"host": "shop.example", "prefix": prefix, "type": kind, "timeoutS": timeout_s, "sloS": 1.0,
            "priority": priority, "backend": service, "attempts": attempts, "anonymous": anonymous}


def request_headers(ident, key=None, deadline_ms=3000):
    headers = {"Host": "shop.example", "X-Request-Id": ident, "X-Deadline-Ms": str(deadline_ms)}
    if key:
        headers["Authorization"] = "Token " + key
    return headers


def run_case(case, folder, trouble):
    """Runs `case(record, trouble)`, which returns whether the rule held, and exits as run.sh must."""
    record = Record(os.path.join(folder, "record.txt"))
    record("trouble: %s" % trouble)
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (NotRun, asyncio.TimeoutError, OSError) as e:
        record("not run: %r" % e)
        print("not run: %r" % e)
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
