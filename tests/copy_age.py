#!/usr/bin/env python3
"""Guards against routers in touch that act on old copies of the tables after outages of the store.

Usage: copy_age.py PROGRAM CASE. Nine router processes, each with a way to the store of its own that can be silenced.
From `contact_ms` after its last disturbance each router must have copies younger than `config_apply_ms`, whatever the
others do. The ages are those of the routers' own metrics.
"""

import asyncio
import collections
import os
import re
import signal
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "stand-ins-3"))
import lab as standins  # noqa: E402
from lab import Engine, Lab, now  # noqa: E402

ROUTERS = 9
CONTACT_S = 3.0
BOUND_S = 2.0
SAMPLE_S = 0.1
CASES = ("lost_zone", "two_outages", "restart", "primary_cut_off", "killed_primary")


class Way(standins.Server):
    """The way of one router to the store."""

    def __init__(self, world, host):
        super().__init__(host, 0)
        self.world, self.silent, self.calls = world, False, 0

    async def handle(self, request, writer):
        self.calls += 1
        if self.silent:
            await asyncio.sleep(30)
            return False
        return await self.world.store.handle(request, writer)


class World(Lab):
    """A deployment in which the store can be silent for single routers."""

    async def build(self):
        self.bounds["config_ms"] = self.bounds["drain_ms"] = int(BOUND_S * 1000)
        await self.begin(routers=ROUTERS, zones=("zone-a", "zone-b", "zone-c", "zone-d"))
        self.ways = []
        for n, router in enumerate(self.routers):
            way = Way(self, "127.%d.9.%d" % (self.net, n + 2))
            await way.start()
            router.store_address = way.address
            self.ways.append(way)
        self.calm_since = [now()] * ROUTERS
        self.oldest = [0.0] * ROUTERS
        self.disturbed = set()
        self.put_config([self.route("brief", "/brief/", "idempotent", "pool")])
        await Engine(self, "pool", "127.%d.2.1" % self.net).join()

    async def sample(self):
        """Records the ages of the copies of all routers in touch."""
        while True:
            await asyncio.gather(*[self.sample_router(n) for n in range(ROUTERS)])
            await asyncio.sleep(SAMPLE_S)

    async def sample_router(self, n):
        router = self.routers[n]
        started = now()
        if n in self.disturbed or started - self.calm_since[n] < CONTACT_S:
            return
        text = ""
        try:
            answer = await standins.fetch(router.host, self.ports["metrics"], "GET", "/metrics", [("Host", "x")], b"", 2)
            text = answer.body.decode()
        except (OSError, asyncio.TimeoutError):
            pass
        if n in self.disturbed or self.calm_since[n] > started:
            return  # The answer may have been lost with the process.
        ages = re.findall(r"^endivestage(?:_endpoints)?_copy_age_seconds(?:{[^}]*})? (\S+)$", text, re.M)
        assert len(ages) == 2, "a router in touch does not tell the ages of its copies"
        for age in map(float, ages):
            self.oldest[n] = max(self.oldest[n], age if age >= 0 else 1000.0)

    def begin_trouble(self, *routers):
        self.disturbed.update(routers)

    def end_trouble(self, *routers):
        self.disturbed.difference_update(routers)
        for n in routers:
            self.calm_since[n] = now()

    async def outage(self, seconds, routers=range(ROUTERS)):
        """The store is silent for some routers. An outage for all takes all routers out of touch."""
        self.begin_trouble(*routers)
        for n in routers:
            self.ways[n].silent = True
        await asyncio.sleep(seconds)
        for n in routers:
            self.ways[n].silent = False
        self.end_trouble(*routers)

    async def pause(self, seconds, *routers):
        """The hosts of some routers do not answer."""
        self.begin_trouble(*routers)
        for n in routers:
            self.routers[n].signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for n in routers:
            self.routers[n].signal(signal.SIGCONT)
        self.end_trouble(*routers)

    async def restart(self, seconds, *routers):
        self.begin_trouble(*routers)
        for n in routers:
            self.routers[n].signal(signal.SIGKILL)
            self.routers[n].process.wait()
        await asyncio.sleep(seconds)
        for n in routers:
            self.routers[n].first_start = False
            self.routers[n].start()
        self.end_trouble(*routers)

    def calls(self):
        return [way.calls for way in self.ways]

    async def primary(self):
        """The router that has called the store most in the last second."""
        before = self.calls()
        await asyncio.sleep(1)
        made = [after - earlier for after, earlier in zip(self.calls(), before)]
        return made.index(max(made))


async def disturb(world, case, counts):
    zones = [[n for n in range(ROUTERS) if n % 4 == zone] for zone in range(4)]
    if case == "lost_zone":
        for turn in range(3):
            await world.outage(5.35)
            before = world.calls()
            await asyncio.sleep(1.85)
            await world.pause(3.0, *zones[turn % 2])
            counts["after an outage"] += sum(world.calls()) - sum(before)
            await asyncio.sleep(1.5)
    elif case == "two_outages":
        for turn in range(3):
            await world.outage(4.0)
            await asyncio.sleep(0.3 + 0.4 * turn)
            await world.outage(2.2)
            await asyncio.sleep(4.6)
    elif case == "restart":
        for zone in zones:
            lost = asyncio.ensure_future(world.restart(3.5, *zone))
            await asyncio.sleep(0.5)
            await world.outage(4.5)
            await lost
            world.end_trouble(*range(ROUTERS))
            await asyncio.sleep(5.5)
    else:
        for _ in range(3):
            primary = await world.primary()
            if case == "killed_primary":
                await world.restart(2.0, primary)
            else:
                await world.outage(5.0, [primary])
            await asyncio.sleep(4.5)


async def run(case):
    with tempfile.TemporaryDirectory() as folder:
        world = World(folder)
        counts = collections.Counter()
        try:
            await world.build()
            world.start_routers()
            assert await world.all_ready(), "the routers did not start"
            await asyncio.sleep(CONTACT_S)
            sampling = asyncio.ensure_future(world.sample())
            await disturb(world, case, counts)
            before = world.calls()
            await asyncio.sleep(3.0)
            counts["calm, last 3 s"] = sum(world.calls()) - sum(before)
            if sampling.done():
                sampling.result()
            sampling.cancel()
        finally:
            world.end()
        print("%s: oldest copies of routers in touch: %s s; calls to the store: %s" % (
            case, " ".join("%.2f" % age for age in world.oldest), dict(counts)))
        assert max(world.oldest) > 0, "no router was ever in touch"
        assert max(world.oldest) <= BOUND_S, "a router in touch had copies older than %.1f s" % BOUND_S


if __name__ == "__main__":
    standins.ROUTER = os.path.abspath(sys.argv[1])
    if sys.argv[2] not in CASES:
        sys.exit("unknown case: %s" % sys.argv[2])
    asyncio.run(run(sys.argv[2]))
