"""Stand-ins for a review case: the platform's store, engines, callers and the routers' processes.

They speak what PROTOCOL.md says, on loopback addresses. Every request that callers send, that engines run and
that callers see answered is written to the record of the case."""
import asyncio
import base64
import itertools
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
ROUTER = os.path.join(ROOT, "target", "endivestage")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class Record:
    """Writes what happened, with the seconds since the start."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))
        self.file.flush()


def free_ports(count, host="127.0.0.1"):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((host, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    def field(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns the first line and the fields; None at the end of the connection."""
    line = await reader.readline()
    while line in (b"\r\n", b"\n"):
        line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    fields = []
    while True:
        text = await reader.readline()
        if not text.endswith(b"\n"):
            return None
        if text in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), fields
        key, _, value = text.decode("latin-1").partition(":")
        fields.append((key.strip(), value.strip()))


async def read_chunk(reader):
    """Returns the bytes of the next chunk; b"" for the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    while size == 0:
        if (await reader.readline()) in (b"\r\n", b""):
            return data
    await reader.readexactly(2)
    return data


def get_field(fields, name, default=""):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    body = b""
    if get_field(head[1], "Transfer-Encoding").lower() == "chunked":
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                break
            body += chunk
    else:
        body = await reader.readexactly(int(get_field(head[1], "Content-Length", "0")))
    return Request(method, target, head[1], body)


def encode(status, fields, body):
    text = "HTTP/1.1 %d %s\r\n" % (status, {200: "OK"}.get(status, "Status"))
    for key, value in list(fields) + [("Content-Length", str(len(body)))]:
        text += "%s: %s\r\n" % (key, value)
    return text.encode("latin-1") + b"\r\n" + body


class Server:
    """An HTTP/1.1 server on one address."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    def crash(self):
        """Ends like a killed process: connections are reset and new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, host, port, record):
        super().__init__(host, port)
        self.record = record
        self.rows = {}
        self.log = []
        self.version = 1
        self.changed = asyncio.Event()
        self.trouble = None  # An async function of the request that may answer instead.

    def apply(self, writes, deletes):
        self.version += 1
        for key, data in writes:
            self.rows[key] = (self.version, data)
            self.log.append((self.version, key, data, False))
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                self.log.append((self.version, key, b"", True))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.apply([((table, "", key), data)], [])

    def drop(self, table, key):
        return self.apply([], [(table, "", key)])

    def row(self, key, version, data, deleted=False):
        found = {"table": key[0], "part": key[1], "key": key[2], "row_version": version}
        found.update({"deleted": True} if deleted else {"data": base64.b64encode(data).decode()})
        return found

    async def answer(self, writer, status, body):
        body.update({"row_version": self.version, "now_ms": int(now() * 1000)})
        writer.write(encode(status, [("Content-Type", "application/json")], json.dumps(body).encode()))
        await writer.drain()
        return True

    async def handle(self, request, writer):
        if self.trouble is not None:
            handled = await self.trouble(request, writer)
            if handled is not None:
                return handled
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/v1/rows-get":
            table, part, first = query["table"], query.get("part", ""), query.get("source", "")
            limit = min(int(query.get("limit", "500")), 500)
            keys = sorted(k for k in self.rows if k[0] == table and k[1] == part and k[2] >= first
                          and ("to" not in query or k[2] < query["to"]))
            rows = [self.row(k, *self.rows[k]) for k in keys[:limit]]
            return await self.answer(writer, 200, {"rows": rows, "has_more": len(keys) > limit})
        if url.path == "/v1/rows-feed":
            table, since = query["table"], int(query["since_rev"])
            until = now() + min(int(query.get("wait_ms", "0")), 30000) / 1000
            while True:
                newest = {}
                for version, key, data, deleted in self.log:
                    if version > since and key[0] == table:
                        newest[key] = (version, data, deleted)
                if newest or now() >= until:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            rows = [self.row(k, *v) for k, v in sorted(newest.items(), key=lambda e: e[1][0])]
            return await self.answer(writer, 200, {"rows": rows})
        if url.path == "/v1/rows-tx":
            change = json.loads(request.body)
            name = lambda r: (r["table"], r.get("part", ""), r["key"])
            for row in change.get("expected_rev", []):
                if self.rows.get(name(row), (0,))[0] != row["row_version"]:
                    return await self.answer(writer, 412, {"rows": []})
            self.apply([(name(r), base64.b64decode(r["data"])) for r in change.get("write", [])],
                       [name(r) for r in change.get("delete", [])])
            return await self.answer(writer, 200, {})
        return await self.answer(writer, 404, {})


class Engine(Server):
    """An engine. Subclasses or \"behave\" change how it answers."""

    counter = itertools.count(1)

    def __init__(self, lab, service, host, zone="zone-a", slots=64, work=0.01):
        super().__init__(host, 0)
        self.lab, self.service, self.zone, self.slots, self.work = lab, service, zone, slots, work
        self.id = "i-%08x" % (random.getrandbits(24) * 256 + next(Engine.counter))
        self.state, self.sequence, self.version = "ready", 0, "v1"
        self.born = int(time.time() * 1000)
        self.behave = None
        self.running = 0
        self.beating = None

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born}

    def register(self):
        self.sequence += 1
        return self.lab.store.put("servers", self.id, self.entry())

    async def join(self):
        await self.start()
        self.register()
        self.lab.engines.append(self)
        return self

    def seal(self):
        return "%s.%x" % (self.id, random.getrandbits(32))

    async def handle(self, request, writer):
        attempt = request.field("X-Attempt-Id")
        base = [("X-Attempt-Id", attempt)] if attempt else []
        if request.target == "/healthz":
            writer.write(encode(200, [("X-Instance-Id", self.id)], b""))
            await writer.drain()
            return True
        if request.field("X-Expect-Instance", self.id) != self.id:
            writer.write(encode(421, base + [("X-Instance-Id", self.id), ("X-Not-Executed", "1")], b""))
            await writer.drain()
            return True
        self.lab.record("engine %s (%s) runs %s %s %s" % (self.id, self.service, attempt, request.method, request.target))
        self.lab.runs.append((now(), attempt, self.id, self.service, request))
        self.running += 1
        try:
            if self.behave is not None:
                return await self.behave(self, request, writer, base)
            await asyncio.sleep(self.work)
            body = ("answer of %s to %s\n" % (self.id, attempt)).encode()
            writer.write(encode(200, base + [("X-Origin-Seal", self.seal())], body))
            await writer.drain()
            return True
        finally:
            self.running -= 1


async def stream_events(engine, request, writer, base, ids, pause):
    """Answers with one event for each id."""
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % f for f in base + [
        ("X-Origin-Seal", engine.seal()), ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]) + "\r\n").encode())
    for number in ids:
        event = ("id: %d\ndata: piece %d of %s\n\n" % (number, number, request.field("X-Attempt-Id"))).encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(pause)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    engine.lab.record("engine %s has sent the whole stream %s" % (engine.id, request.field("X-Attempt-Id")))
    return True


class Router:
    """A process of the role \"router\"."""

    def __init__(self, lab, number, zone):
        self.lab, self.number, self.zone = lab, number, zone
        self.host = "127.%d.1.%d" % (lab.net, number)
        self.name = "edge-%s-%d" % (zone, number)
        self.process = None
        self.bounds = dict(lab.bounds)
        self.first_start = True
        self.store_address = None

    def settings(self):
        ports = self.lab.ports
        at = lambda port: "%s:%d" % (self.host, port)
        return {"router": {"name": self.name, "zone": self.zone, "region": "baltic-north", "host": self.host,
                           "peer_port": ports["peer"], "cpu_share": 0.25, "memory_mb": 260, "max_descriptors": 4100,
                           "first_start": self.first_start},
                "listen": {"callers": at(ports["callers"]), "readiness": at(ports["readiness"]),
                           "directory": at(ports["directory"]), "metrics": at(ports["metrics"])},
                "platform": {"table_service": self.store_address or self.lab.store.address},
                "bounds": self.bounds, "overload": {"enabled": False}}

    def write_settings(self):
        path = os.path.join(self.lab.folder, self.name + ".json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        os.replace(path + ".new", path)
        return path

    def start(self):
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": self.lab.folder,
                       "ENDIVESTAGE_BOOT": self.write_settings()}
        self.process = subprocess.Popen([ROUTER, "serve"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        self.lab.record("router %s started" % self.name)

    def signal(self, number):
        self.lab.record("router %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def ready(self, timeout=15):
        until = now() + timeout
        while now() < until:
            try:
                answer = await fetch(self.host, self.lab.ports["readiness"], "GET", "/v1/readyz", [("Host", "x")], b"", 1)
                if answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.05)
        return False


class Answer:
    def __init__(self):
        self.status, self.fields, self.body, self.whole, self.reason, self.chunks = 0, [], b"", False, "", []


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        answer.reason = "closed without an answer"
        return
    answer.status = int(head[0].split(" ")[1])
    answer.fields = head[1]
    answer.reason = "closed within the answer"
    if get_field(head[1], "Transfer-Encoding").lower() == "chunked":
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                break
            answer.body += chunk
            answer.chunks.append((now(), chunk))
    elif get_field(head[1], "Content-Length"):
        answer.body = await reader.readexactly(int(get_field(head[1], "Content-Length")))
    answer.whole = True
    answer.reason = "whole"


class Connection:
    """A caller's connection that is kept for several requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(host, port, timeout=1.0):
        return Connection(*await asyncio.wait_for(asyncio.open_connection(host, port, limit=1 << 20), timeout))

    def write(self, method, target, fields, body):
        text = "%s %s HTTP/1.1\r\n" % (method, target) + "".join("%s: %s\r\n" % f for f in fields)
        if body or method in ("POST", "PUT"):
            text += "Content-Length: %d\r\n" % len(body)
        self.writer.write(text.encode("latin-1") + b"\r\n" + body)

    async def exchange(self, method, target, fields, body, timeout):
        answer = Answer()
        try:
            self.write(method, target, fields, body)
            await self.writer.drain()
            await asyncio.wait_for(read_answer(self.reader, answer), timeout)
        except asyncio.TimeoutError:
            answer.reason = "no whole answer in time"
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError) as error:
            answer.reason = answer.reason or "closed without an answer (%s)" % type(error).__name__
        return answer

    def close(self):
        self.writer.close()


async def fetch(host, port, method, target, fields, body, timeout):
    connection = await Connection.open(host, port, timeout)
    try:
        return await connection.exchange(method, target, fields, body, timeout)
    finally:
        connection.close()


class Lab:
    """A small deployment: a store, engines and routers."""

    def __init__(self, case_folder, net=None):
        self.net = net or random.randint(10, 200)
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.engines, self.routers, self.runs = [], [], []
        names = ["peer", "callers", "readiness", "directory", "metrics"]
        self.ports = dict(zip(names, free_ports(len(names), "127.%d.1.1" % self.net)))
        # The figures of puskis-riga.
        self.bounds = {"revocation_ms": 5000, "config_ms": 2000, "drain_ms": 2000, "repeat_ratio": 0.2,
                       "repeat_window_s": 10, "repeat_allowance": 58, "cold_overshoot": 1.5, "cold_slack": 5,
                       "stop_grace_s": 8, "max_extension_ms": 5000, "address_lifetime_s": 5}
        self.store = Store("127.%d.9.1" % self.net, 0, self.record)
        self.config_version = 0
        self.next_attempt = itertools.count(1)
        self.prefix = "%08x" % random.getrandbits(32)

    async def begin(self, routers=2, zones=("zone-a", "zone-b")):
        await self.store.start()
        for number in range(1, routers + 1):
            self.routers.append(Router(self, number, zones[(number - 1) % len(zones)]))

    def route(self, name, prefix, kind, service, **more):
        found = {"name": name, "host": "shop.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": 1200,
                 "slo_ms": 150, "priority": 2, "service": service, "max_attempts": 1, "anonymous": False,
                 "sticky": False, "resumable": False}
        found.update(more)
        return found

    def put_config(self, routes, tenants=None, services=None):
        self.config_version += random.randint(1, 5)
        names = sorted({r["service"] for r in routes if "service" in r})
        config = {"version": self.config_version, "routes": routes,
                  "services": services or [{"name": n, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": False,
                                            "cold_start_s": 0.0, "cold_per_s": 0.0} for n in names],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                  "tenants": tenants if tenants is not None else [{"name": "knotters", "api_keys": ["key-1"], "priority": 1}]}
        self.store.put("op", "config", config)
        self.record("store acknowledges configuration %d" % self.config_version)
        return self.config_version

    def start_routers(self):
        for router in self.routers:
            router.start()

    async def all_ready(self):
        ready = await asyncio.gather(*[r.ready() for r in self.routers])
        return all(ready)

    def attempt_id(self):
        return self.prefix + "%08x" % next(self.next_attempt)

    def fields(self, attempt, deadline_ms, key="key-1", more=()):
        found = [("Host", "shop.example"), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", str(deadline_ms))]
        if key:
            found.append(("Authorization", "Bearer " + key))
        return found + list(more)

    async def call(self, router, method, target, deadline_ms=2500, key="key-1", body=b"", more=(), attempt=None, connection=None):
        attempt = attempt or self.attempt_id()
        self.record("caller sends %s %s %s to %s" % (attempt, method, target, router.name))
        try:
            if connection is not None:
                answer = await connection.exchange(method, target, self.fields(attempt, deadline_ms, key, more), body, deadline_ms / 1000 + 1)
            else:
                answer = await fetch(router.host, self.ports["callers"], method, target, self.fields(attempt, deadline_ms, key, more), body,
                                     deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError) as error:
            answer = Answer()
            answer.reason = "no connection (%s)" % type(error).__name__
        answer.attempt = attempt
        self.record("caller got for %s: status %d, %s, %d bytes" % (attempt, answer.status, answer.reason, len(answer.body)))
        return answer

    def end(self):
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                try:
                    router.process.send_signal(signal.SIGCONT)
                    router.process.kill()
                except ProcessLookupError:
                    pass
                router.process.wait()
        self.temporary.cleanup()


def run_case(main, case_folder):
    """Runs the case: main returns True if the rule held, False if it was broken, None if the case could not run."""
    lab = Lab(case_folder)
    code = 2
    try:
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        held = asyncio.run(asyncio.wait_for(main(lab), 110))
        code = 2 if held is None else 0 if held else 1
        lab.record("result: %s" % {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    except Exception as error:  # The case says that it could not run, whatever the reason.
        lab.record("result: the case could not run: %r" % error)
        print("could not run: %r" % error, file=sys.stderr)
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(lab.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        lab.end()
    sys.exit(code)
