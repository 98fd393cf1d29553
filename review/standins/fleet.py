"""Stand-ins of the platform, its engines and its clients, for the scripts of the review.

Everything runs on loopback addresses and the real clock. The routers are the project's own program,
started with the command of the deploy file ("target/endivestage serve").
"""

import asyncio
import base64
import ctypes
import json
import os
import shutil
import signal
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "endivestage")

CALLER_PORT, READY_PORT, DIRECTORY_PORT, METRICS_PORT, PEER_PORT = 8227, 8220, 8224, 9464, 7340

# The bounds of the pages for both sites (SYSTEM.md, "Bounds").
BOUNDS = {
    "revocation_ms": 5000, "config_ms": 2000, "drain_ms": 2000, "repeat_ratio": 0.2,
    "repeat_window_s": 10, "repeat_allowance": 58, "cold_overshoot": 1.5, "cold_slack": 5,
    "stop_grace_s": 8, "address_lifetime_s": 5,
}


def end_with_parent():
    """Ends a router when its script ends, whatever ends the script."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def subnet():
    """A loopback network of this process alone."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 8) % 64}.{pid % 256}"


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name, default=None):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


async def read_body(reader, fields, until_close=False):
    length = field(fields, "Content-Length")
    if field(fields, "Transfer-Encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if until_close else b""


class Store:
    """The platform's metadata store: rows with versions, a feed, transactions."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.mode = "ok"  # ok, busy (503), silent (no answer)
        self.connections = set()
        self.calls = 0

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.write(table, key, base64.b64encode(data).decode())
        self.record.line(f"store acknowledged write {table}/{key} version {self.version}")

    def write(self, table, key, data):
        self.version += 1
        self.rows[(table, key)] = (self.version, data)
        self.wake()

    def erase(self, table, key, note=True):
        self.version += 1
        self.rows[(table, key)] = (self.version, None)
        self.wake()
        if note:
            self.record.line(f"store acknowledged removal {table}/{key} version {self.version}")

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def list(self, table, since, deleted):
        found = []
        for (name, key), (version, data) in sorted(self.rows.items(), key=lambda r: r[1][0] if deleted else r[0]):
            if name != table or version <= since or (data is None and not deleted):
                continue
            row = {"table": table, "part": "", "key": key, "row_version": version}
            row.update({"deleted": True} if data is None else {"data": data})
            found.append(row)
        return {"rows": found, "has_more": False, "row_version": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                self.calls += 1
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                status, answer = await self.answer(path, args, body)
                while self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "busy":
                    status, answer = 503, {}
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, path, args, body):
        if self.mode != "ok":
            return 503, {}
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            return 200, self.list(args["table"], 0, False)
        if path == "/v1/rows-feed":
            since, end = int(args["since_rev"]), time.monotonic() + int(args.get("wait_ms", 0)) / 1000
            while True:
                found = self.list(args["table"], since, True)
                left = end - time.monotonic()
                if found["rows"] or left <= 0:
                    return 200, found
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            call = json.loads(body)
            for row in call["write"]:
                self.write(row["table"], row["key"], row["data"])
            for row in call["delete"]:
                self.erase(row["table"], row["key"], note=False)
            return 200, {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}
        return 404, {}


class Link:
    """A proxy between one router and the store. While it is cut, nothing passes in either direction;
    what was sent meanwhile arrives after the cut, as on a network path that drops packets."""

    def __init__(self, target):
        self.target_host, port = target.split(":")
        self.target_port = int(port)
        self.open = asyncio.Event()
        self.open.set()
        self.feeds_at = []  # when answers to polls of the operator's table passed, if `polls` is set
        self.op_polls = 0

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            store_reader, store_writer = await asyncio.open_connection(self.target_host, self.target_port)
        except OSError:
            writer.close()
            return
        state = {"op": False}

        async def pump(source, sink, from_router):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        break
                    await self.open.wait()
                    if from_router:
                        state["op"] = b"rows-feed?table=op&" in data
                        self.op_polls += state["op"]
                    elif state["op"]:
                        self.feeds_at.append(time.monotonic())
                        state["op"] = False
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, store_writer, True), pump(store_reader, writer, False))


class Engine:
    """A sound engine. `work_ms` is its time for a request; `slots` run at once, few more wait."""

    def __init__(self, record, store, name, service, zone, slots=6, queue=24, work_ms=30, events=0,
                 event_ms=50, cold_ms=0):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.name, self.slots, self.queue, self.work_ms = name, slots, queue, work_ms
        self.events, self.event_ms, self.cold_ms = events, event_ms, cold_ms
        self.running, self.waiting = 0, 0
        self.runs, self.arrivals = [], []
        self.connections = set()
        self.server = None
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.behave = None  # async function(engine, request) -> True if it has answered

    async def start(self, host, port=0):
        self.host = host
        self.server = await asyncio.start_server(self.serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def entry(self):
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_left_ms": self.cold_ms, "sequence": self.sequence, "born": self.born}

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.name, self.entry())

    def crash(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.line(f"engine {self.name} crashed")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if not await self.respond(line, fields, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, line, fields, body, reader, writer):
        method, target, _ = line.split(" ")
        attempt = field(fields, "X-Attempt-Id", "")
        self.arrivals.append((self.record.now(), attempt))
        expected = field(fields, "X-Expect-Instance", self.name)

        def refuse(status):
            self.record.line(f"engine {self.name} answers {attempt} {status} and does not run it")
            writer.write(f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n"
                         f"Content-Length: 0\r\n\r\n".encode())

        if expected != self.name:
            refuse(421)
            await writer.drain()
            return True
        if self.running >= self.slots + self.queue:
            refuse(503)
            await writer.drain()
            return True
        self.running += 1
        self.runs.append((self.record.now(), attempt))
        self.record.line(f"engine {self.name} runs {attempt} {method} {target} body {len(body)} "
                         f"tenant {field(fields, 'X-Tenant', '-')} last {field(fields, 'Last-Event-Id', '-')}")
        try:
            if self.behave is not None:
                done = await self.behave(self, attempt, fields, writer)
                if done is not None:
                    return done
            if self.events:
                return await self.stream(attempt, fields, writer)
            await asyncio.sleep(self.work_ms / 1000)
            data = f"answer to {attempt}".encode()
            writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Origin-Seal: seal-{attempt}\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            return True
        finally:
            self.running -= 1

    async def stream(self, attempt, fields, writer):
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Origin-Seal: seal-{attempt}\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(int(field(fields, "Last-Event-Id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.event_ms / 1000)
            event = f"id: {number}\ndata: {attempt}/{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Router:
    """One process of the deploy file's role, with the settings of a small deployment."""

    def __init__(self, name, host, zone, store_address, folder, bounds=None):
        self.name, self.host, self.zone, self.folder = name, host, zone, folder
        self.settings = {
            "router": {"name": name, "zone": zone, "region": "north", "host": host,
                       "peer_port": PEER_PORT, "cpu_share": 0.25, "first_start": True},
            "listen": {"callers": f"{host}:{CALLER_PORT}", "readiness": f"{host}:{READY_PORT}",
                       "directory": f"{host}:{DIRECTORY_PORT}", "metrics": f"{host}:{METRICS_PORT}"},
            "platform": {"table_service": store_address},
            "bounds": dict(BOUNDS, **(bounds or {})),
        }
        self.process = None

    async def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["ENDIVESTAGE_BOOT"] = path
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "serve", cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, preexec_fn=end_with_parent)
        self.settings["router"]["first_start"] = False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(request(self.host, READY_PORT, "GET", "/v1/readyz", []), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.ready():
                return True
            await asyncio.sleep(0.05)
        return False


async def request(host, port, method, target, fields, body=b""):
    """One request on a new connection; raises IncompleteReadError for a cut answer."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        text = f"{method} {target} HTTP/1.1\r\n"
        names = [name.lower() for name, _ in fields]
        if "host" not in names:
            text += "Host: t.example\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in fields)
        if (body or method == "POST") and "content-length" not in names:
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()
        line, answer = await read_head(reader)
        data = await read_body(reader, answer)
        return int(line.split(" ")[1]), answer, data
    finally:
        writer.close()


class Fleet:
    """A store, engines and routers in a temporary folder."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="endivestage-review-")
        self.network = subnet()
        self.store = Store(self.record)
        self.engines, self.routers = [], []
        self.config_version = 0
        self.hosts = 100

    def next_host(self):
        self.hosts += 1
        return f"{self.network}.{self.hosts}"

    async def start_store(self):
        await self.store.start(f"{self.network}.1")

    def put_config(self, routes, services, tenants=None, limits=None):
        self.config_version += 3
        self.store.put("op", "config", {
            "version": self.config_version, "routes": routes, "services": services,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                                 "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants if tenants is not None else [{"name": "buyers", "api_keys": ["key-1"]}]})

    async def add_engine(self, name, service, zone, **options):
        engine = Engine(self.record, self.store, name, service, zone, **options)
        await engine.start(self.next_host())
        self.engines.append(engine)
        return engine

    async def add_routers(self, count, zones=("zone-a", "zone-b", "zone-c"), bounds=None, links=False):
        for _ in range(count):
            number = len(self.routers) + 1
            address = self.store.address
            link = None
            if links:
                link = Link(address)
                await link.start(f"{self.network}.{150 + number}")
                address = link.address
            router = Router(f"edge-{number}", f"{self.network}.{10 + number}", zones[(number - 1) % len(zones)],
                            address, self.folder, bounds)
            router.link = link
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            if not await router.wait_ready():
                raise RuntimeError("a router did not become ready")

    async def stop(self):
        for router in self.routers:
            if router.process is not None and router.process.returncode is None:
                router.signal(signal.SIGCONT)
                router.signal(signal.SIGKILL)
                await router.process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_ms=2500, attempts=1, resumable=False, slo_ms=150):
    return {"name": name, "host": "t.example", "path_prefix": prefix, "route_type": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1, "service": service,
            "max_attempts": attempts, "anonymous": False, "sticky": kind == "streaming",
            "resumable": resumable}


def service(name, cold_s=0.0, cold_per_s=0.0, max_conns=110):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns,
            "cold_start_s": cold_s, "cold_per_s": cold_per_s}


def call_fields(attempt, key="key-1", deadline_ms=2500, extra=()):
    return [("Host", "t.example"), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Bearer {key}")] + list(extra)
