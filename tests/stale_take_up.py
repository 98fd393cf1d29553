#!/usr/bin/env python3
"""Guards against streams joined from two versions by a router that was out of step while the second one came.

Usage: stale_take_up.py PROGRAM CASE. Two router processes that do not reach each other; each has a copy of the store
of its own. Endpoints of another version join while the second router is out of step. Streams begin at the first one,
break off, and it is killed; their callers take them up at the second router.
"""

import asyncio
import os
import signal
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "stand-ins-3"))
import lab as standins  # noqa: E402
from lab import Engine, Lab  # noqa: E402

STREAMS = 16
EVENTS = 6
BREAK_AFTER = 2
DEADLINE_MS = 6000
CASES = ("cut_off", "paused", "one_version")


async def respond(engine, request, writer, base):
    """A new stream breaks off after two events; one that is taken up is completed."""
    last = int(request.field("Last-Event-Id", "0"))
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % field for field in base + [
        ("X-Origin-Seal", engine.seal()), ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]) + "\r\n").encode())
    for number in range(last + 1, (EVENTS if last else BREAK_AFTER) + 1):
        event = ("id: %d\ndata: %s\n\n" % (number, engine.version)).encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    if last:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    return bool(last)


def versions_in(body):
    return {line[6:] for line in body.decode().splitlines() if line.startswith("data: ")}


class World(Lab):
    """A deployment whose second router has another address of the store."""

    async def build(self):
        await self.begin(routers=2, zones=("zone-a", "zone-b"))
        self.second_store = standins.Store("127.%d.9.2" % self.net, 0, self.record)
        await self.second_store.start()
        self.routers[1].store_address = self.second_store.address
        self.put_config([self.route("brief", "/brief/", "streaming", "pool", timeout_ms=DEADLINE_MS, slo_ms=800,
                                    itl_target_ms=400, resumable=True)])
        self.copy("op", "config")

    def copy(self, table, key):
        """Lets the second router's store have a row."""
        self.second_store.put(table, key, self.store.rows[(table, "", key)][1])

    async def join(self, version, host, copied=True):
        engine = Engine(self, "pool", host)
        engine.version, engine.behave = version, respond
        await engine.join()
        if copied:
            self.copy("servers", engine.id)
        return engine

    def cut_store(self):
        """Loses all that the second router's store sends."""
        async def stay_silent(_, writer):
            await asyncio.sleep(30)
            return False
        self.second_store.trouble = stay_silent
        for writer in list(self.second_store.writers):
            writer.transport.abort()

    def heal_store(self):
        self.second_store.trouble = None
        for writer in list(self.second_store.writers):
            writer.transport.abort()


async def play(world, case):
    await world.build()
    for n in range(2):
        await world.join("v1", "127.%d.2.%d" % (world.net, n + 1))
    world.start_routers()
    assert await world.all_ready(), "the routers did not start"
    await asyncio.sleep(1)
    first, second = world.routers
    if case == "cut_off":
        world.cut_store()
    elif case == "paused":
        second.signal(signal.SIGSTOP)
        world.cut_store()
    joined = []
    if case != "one_version":
        joined = [await world.join("v2", "127.%d.3.%d" % (world.net, n + 1), copied=False) for n in range(2)]
    await asyncio.sleep(0.7)
    begun = await asyncio.gather(*[world.call(first, "POST", "/brief/x", DEADLINE_MS, body=b"a brief")
                                   for _ in range(STREAMS)])
    first.signal(signal.SIGKILL)
    if case == "paused":
        world.heal_store()
        for engine in joined:
            world.copy("servers", engine.id)
    takes = []
    for answer in begun:
        assert answer.status == 200 and not answer.whole, "a stream did not begin, or did not break off"
        more = [("Last-Event-Id", str(BREAK_AFTER)), ("Resumes", answer.attempt)]
        takes.append(asyncio.ensure_future(
            world.call(second, "POST", "/brief/x", DEADLINE_MS, body=b"a brief", more=more)))
    if case == "paused":
        await asyncio.sleep(0.3)
        second.signal(signal.SIGCONT)
    return list(zip(begun, await asyncio.gather(*takes)))


def check(case, pairs):
    joined = sum(len(versions_in(first.body) | versions_in(next.body)) > 1 for first, next in pairs)
    on_second = sum("v2" in versions_in(first.body) for first, _ in pairs)
    went_on = sum(next.status == 200 for _, next in pairs)
    refused = sum(next.status == 503 for _, next in pairs)
    print("%s: of %d streams %d began at the second version; %d went on, %d were refused, %d hold two versions" % (
        case, len(pairs), on_second, went_on, refused, joined))
    assert joined == 0, "streams hold events of two versions"
    assert went_on + refused == len(pairs), "a take-up was neither served nor refused"
    if case == "one_version":
        assert went_on == len(pairs), "streams of the only version were refused"
    else:
        assert on_second > 2, "too few streams began at the second version"


async def run(case):
    with tempfile.TemporaryDirectory() as folder:
        world = World(folder)
        try:
            check(case, await play(world, case))
        finally:
            for router in world.routers:
                if router.process is not None and router.process.poll() is None:
                    router.process.kill()
                    router.process.wait()


if __name__ == "__main__":
    standins.ROUTER = os.path.abspath(sys.argv[1])
    asyncio.run(run(sys.argv[2]))
