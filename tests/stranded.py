#!/usr/bin/env python3
"""Guards against routers that fail their callers when they alone have lost their links to all endpoints.

Usage: stranded.py PROGRAM CASE. Six router processes; a gate before each endpoint cuts off single routers. From `contact_ms` after the
beginning of a cut, first tries at the routers that are cut off must be served at least two thirds as often as those at the others; no
request that must run once runs twice, none that was refused runs; after the cut the routers are listed again and use the endpoints.
"""

import asyncio
import collections
import os
import random
import re
import shutil
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "stand-ins-3"))
import lab as standins  # noqa: E402
from lab import Engine, Lab, encode, now, stream_events  # noqa: E402

ROUTERS = 6
ENDPOINTS = 8
CONTACT_S = 3.0
CUT_S = 8.0
RECOVERY_S = 3.0
CALLS_PER_S = 10  # At each router.
PROMISES = (408, 421, 429, 503)
# Case: which routers are cut off, and how.
CASES = {
    "silent": ([0, 1], "silent"),
    "reset": ([0, 1], "reset"),
    "live_on": ([0, 1], "live_on"),
    "nearly_all": ([0, 1, 2, 3, 4], "reset"),
    "all": (list(range(ROUTERS)), "reset"),
    "flap": ([0, 1], "reset"),
}


def find_owner(port, pids):
    """Returns the index of the process, one of this test's own, that has a TCP socket with this local port."""
    with open("/proc/net/tcp", encoding="ascii") as table:
        inodes = [line.split()[9] for line in table if line.split()[1].endswith(":%04X" % port)]
    for index, pid in enumerate(pids):
        try:
            for name in os.listdir("/proc/%d/fd" % pid):
                if os.readlink("/proc/%d/fd/%s" % (pid, name)) in ["socket:[%s]" % inode for inode in inodes]:
                    return index
        except OSError:
            continue
    return None


class Gate:
    """Forwards connections to an endpoint, except those of routers that are cut off."""

    def __init__(self, world, host, target):
        self.world, self.host, self.target, self.port = world, host, target, 0
        self.open = collections.defaultdict(set)
        self.accepted = collections.Counter()

    async def start(self):
        server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        router = find_owner(writer.get_extra_info("peername")[1], self.world.pids())
        self.accepted[router] += 1
        if self.world.cut.get(router) in ("reset", "live_on"):
            writer.transport.abort()
            return
        there_reader, there_writer = await asyncio.open_connection(self.host, self.target)
        self.open[router].add(writer)
        try:
            await asyncio.gather(self.forward(router, reader, there_writer), self.forward(router, there_reader, writer),
                                 return_exceptions=True)
        finally:
            self.open[router].discard(writer)
            writer.close()
            there_writer.close()

    async def forward(self, router, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.world.cut.get(router) != "silent":
                    writer.write(data)
                    await writer.drain()
            if self.world.cut.get(router) != "silent":
                writer.close()
        except (ConnectionError, OSError):
            writer.transport.abort()

    def begin_cut(self, router, how):
        if how == "reset":
            for writer in list(self.open[router]):
                writer.transport.abort()


class GatedEngine(Engine):
    gate = None

    async def join(self):
        await self.start()
        self.gate = Gate(self.lab, self.host, self.port)
        await self.gate.start()
        self.register()
        self.lab.engines.append(self)
        return self

    def entry(self):
        return dict(super().entry(), address="%s:%d" % (self.host, self.gate.port))


async def answer_request(engine, request, writer, base):
    first = int(request.field("Last-Event-Id", "0")) + 1
    if request.target.startswith("/talk/"):
        return await stream_events(engine, request, writer, base, range(first, 9), 0.02)
    await asyncio.sleep(engine.work)
    writer.write(encode(200, base + [("X-Origin-Seal", engine.seal())], b"answer"))
    await writer.drain()
    return True


class World(Lab):
    async def build(self):
        await self.begin(routers=ROUTERS, zones=("zone-a", "zone-b", "zone-c"))
        self.cut = {}
        self.idle = collections.defaultdict(list)  # Connections of callers, by router.
        self.calls = []  # (sent, router, kind, answer)
        plain = [self.route("look", "/look/", "idempotent", "shop", max_attempts=2),
                 self.route("order", "/order/", "non_idempotent", "shop")]
        self.put_config(plain + [self.route("talk", "/talk/", "streaming", "shop", max_attempts=2, resumable=True, sticky=True,
                                            timeout_ms=3000, slo_ms=500)])
        for n in range(ENDPOINTS):
            engine = await GatedEngine(self, "shop", "127.%d.2.%d" % (self.net, n + 1), "zone-" + "abc"[n % 3]).join()
            engine.behave = answer_request

    def pids(self):
        return [router.process.pid for router in self.routers]

    def begin_cut(self, routers, how):
        for n in routers:
            self.cut[n] = how
            for engine in self.engines:
                engine.gate.begin_cut(n, how)

    def end_cut(self):
        self.cut.clear()

    async def ask(self, n):
        kind = random.choice(("look", "order", "talk"))
        sent = now()
        idle = self.idle[n]
        try:
            connection = idle.pop() if idle else await standins.Connection.open(self.routers[n].host, self.ports["callers"])
        except (OSError, asyncio.TimeoutError):
            connection = None
        answer = await self.call(self.routers[n], "GET" if kind == "look" else "POST", "/%s/x" % kind, 2000, body=b"" if kind == "look" else b"b",
                                 connection=connection)
        self.calls.append((sent, n, kind, answer))
        if connection is not None and answer.whole and standins.get_field(answer.fields, "Connection").lower() != "close":
            idle.append(connection)
        elif connection is not None:
            connection.close()

    async def load(self):
        while True:
            for n in range(ROUTERS):
                asyncio.ensure_future(self.ask(n))
            await asyncio.sleep(1.0 / CALLS_PER_S)

    def served(self, since, until, routers):
        made = [call for call in self.calls if since <= call[0] < until and call[1] in routers]
        return sum(call[3].status == 200 and call[3].whole for call in made), len(made)

    def connections(self):
        return sum(sum(engine.gate.accepted.values()) for engine in self.engines)

    async def metric(self, n, name):
        answer = await standins.fetch(self.routers[n].host, self.ports["metrics"], "GET", "/metrics", [("Host", "x")], b"", 2)
        found = re.search(r"^%s(?:{[^}]*})? (\S+)$" % name, answer.body.decode(), re.M)
        return float(found.group(1)) if found else 0.0

    async def listed(self, n):
        """The hosts that a router's directory names."""
        answer = await standins.fetch(self.routers[n].host, self.ports["directory"], "GET", "/v1/resolve?name=shop.example&zone=zone-a",
                                      [("Host", "x")], b"", 2)
        return {address.split(":")[0] for address in standins.json.loads(answer.body)["addresses"]}

    def check_runs(self):
        """No request ran twice that must run once, and none that was refused."""
        ran = collections.Counter(run[1] for run in self.runs)
        for _, _, kind, answer in self.calls:
            runs = ran[answer.attempt]
            assert kind != "order" or runs <= 1, "an order ran %d times" % runs
            assert answer.status not in PROMISES or runs == 0 or kind != "order", "an order ran that was refused with %d" % answer.status


async def cut(world, case):
    """Returns the instant at which the cut began and the one at which it ended."""
    routers, how = CASES[case]
    began = now()
    if case != "flap":
        world.begin_cut(routers, how)
        await asyncio.sleep(CUT_S)
        world.end_cut()
        return began, now()
    for _ in range(4):
        world.begin_cut(routers, how)
        await asyncio.sleep(1.5)
        world.end_cut()
        await asyncio.sleep(0.5)
    return began, now()


async def check_directory(world, others, routers):
    while True:
        for n in others:
            hosts = await world.listed(n)
            assert hosts, "no router is listed"
            assert not hosts & {world.routers[m].host for m in routers}, "a router that is cut off is listed"
        await asyncio.sleep(0.2)


async def run(case):
    routers, _ = CASES[case]
    others = [n for n in range(ROUTERS) if n not in routers]
    with tempfile.TemporaryDirectory() as folder:
        world = World(folder)
        try:
            await world.build()
            world.start_routers()
            assert await world.all_ready(), "the routers did not start"
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            loading = asyncio.ensure_future(world.load())
            await asyncio.sleep(3.0)
            calm_checks = [await world.metric(n, "endivestage_cuts_total") for n in range(ROUTERS)]
            assert not any(calm_checks), "a router counted as cut off in calm"
            checking = None
            # A router whose old connections carry all of its requests has nothing to tell the others.
            if others and case not in ("flap", "live_on"):
                async def check_later():
                    await asyncio.sleep(CONTACT_S)
                    await check_directory(world, others, routers)
                checking = asyncio.ensure_future(check_later())
            began, ended = await cut(world, case)
            if checking is not None and not checking.done():
                checking.cancel()
            await asyncio.sleep(RECOVERY_S)
            returned = now()
            await asyncio.sleep(2.0)
            loading.cancel()
            await asyncio.sleep(2.5)
            there, there_all = world.served(began + CONTACT_S, ended, routers)
            here, here_all = world.served(began + CONTACT_S, ended, others)
            after, after_all = world.served(returned, now(), range(ROUTERS))
            refused = [call for call in world.calls if began + CONTACT_S <= call[0] < ended and call[3].status == 503]
            print("%s: served during the cut: %d of %d at routers that are cut off, %d of %d at the others; after it %d of %d" % (
                case, there, there_all, here, here_all, after, after_all))
            world.check_runs()
            if checking is not None and not checking.cancelled():
                checking.result()
            assert after >= 0.97 * after_all, "requests fail after the cut"
            if case == "all":
                assert there == 0 and len(refused) >= 0.95 * there_all, "requests are not refused though nobody reaches an endpoint"
            elif case != "flap":
                assert there / there_all >= here / here_all * 2 / 3, "callers of routers that are cut off are served far worse"
                assert there_all + here_all - there - here <= 10 + (there_all + here_all) / 50, "too many first tries fail"
                assert here >= 0.95 * here_all, "callers of the other routers are served worse"
            # A router that was cut off several times is listed 8 s after the last one.
            if case == "flap":
                await asyncio.sleep(4.0)
            for n in range(ROUTERS):
                assert len(await world.listed(n)) == ROUTERS, "a router is not listed after the cut"
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(world.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            world.end()


if __name__ == "__main__":
    standins.ROUTER = os.path.abspath(sys.argv[1])
    if sys.argv[2] not in CASES:
        sys.exit("unknown case: %s" % sys.argv[2])
    asyncio.run(run(sys.argv[2]))
