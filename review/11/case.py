"""The store is away for a moment and comes back from a copy 2.5 s old; then the operator takes a key away."""
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
from lab import Engine, TROUBLE, asyncio, encode, now, run_case

HEARTBEAT_S = 1.2
REVOKE_S = 5.0  # The site's revoke_ms.
AWAY_S, OLDER_S = 0.4, 2.5
DRILL_AT_S, REVOKE_AT_S, END_S = 5.0, 5.7, 25.0


class Copies:
    """The store's copies, the answer to reads ahead of the present copy, and the header Store-Era."""

    def __init__(self, store):
        self.store, self.era, self.away, self.copies = store, 1, False, []
        store.trouble = self.answer
        store.answer = self.with_era

    async def with_era(self, writer, status, body):
        body.update({"row_version": self.store.version, "now_ms": int(now() * 1000)})
        writer.write(encode(status, [("Content-Type", "application/json"), ("Store-Era", str(self.era))], json.dumps(body).encode()))
        await writer.drain()
        return True

    async def answer(self, request, writer):
        if self.away:
            writer.transport.abort()
            return False
        if request.target.startswith("/v1/rows-feed"):
            since = int(request.target.split("since_rev=")[1].split("&")[0])
            if since > self.store.version:
                return await self.with_era(writer, 410, {})
        return None

    async def keep(self):
        while True:
            store = self.store
            self.copies.append((now(), dict(store.rows), list(store.log), store.version))
            self.copies = self.copies[-200:]
            await asyncio.sleep(0.05)

    async def go_back(self, record):
        store, self.away = self.store, True
        for writer in list(store.writers):
            writer.transport.abort()
        record("the store is away at version %d" % store.version)
        before = [copy for copy in self.copies if copy[0] <= now() - OLDER_S][-1]
        await asyncio.sleep(AWAY_S)
        _, store.rows, store.log, store.version = before
        self.era += 1
        self.away = False
        record("the store is back at version %d, Store-Era %d" % (store.version, self.era))


async def main(lab):
    await lab.begin(routers=2, zones=("zone-a", "zone-b"))
    copies = Copies(lab.store)
    tasks = [asyncio.ensure_future(copies.keep())]
    engines = [await Engine(lab, "shop", "127.%d.2.%d" % (lab.net, n + 1), "zone-" + "abcd"[n]).join() for n in range(4)]

    async def beat(engine, delay):
        await asyncio.sleep(delay)
        while True:
            if not copies.away:
                engine.register()
            await asyncio.sleep(HEARTBEAT_S)

    tasks += [asyncio.ensure_future(beat(e, 0.3 * n)) for n, e in enumerate(engines)]
    routes = [lab.route("look", "/look/", "idempotent", "shop", max_attempts=2)]
    tenants = lambda keys: [{"name": "knotters", "api_keys": ["key-1"], "priority": 1},
                            {"name": "buyers", "api_keys": keys, "priority": 1}]
    lab.put_config(routes, tenants(["key-2"]))
    lab.start_routers()
    if not await lab.all_ready():
        return None
    start = now()
    state = {}
    results = []

    async def operator():
        if TROUBLE:
            await asyncio.sleep(start + DRILL_AT_S - now())
            await copies.go_back(lab.record)
        await asyncio.sleep(start + REVOKE_AT_S - now())
        lab.put_config(routes, tenants([]))
        state["acknowledged"] = now()
        lab.record("the configuration without key-2 is acknowledged at version %d" % lab.store.version)

    async def ask(router, key):
        sent = now()
        answer = await lab.call(router, "GET", "/look/x", 2500, key=key)
        results.append((sent, key, answer))

    async def callers():
        asked, n = [], 0
        while now() < start + END_S:
            asked.append(asyncio.ensure_future(ask(lab.routers[n % 2], "key-%d" % (n // 2 % 2 + 1))))
            n += 1
            await asyncio.sleep(0.05)
        await asyncio.gather(*asked)

    await asyncio.gather(operator(), callers())
    for task in tasks:
        task.cancel()
    ran = {run[1] for run in lab.runs}
    late = [(sent, answer) for sent, key, answer in results if key == "key-2" and sent > state["acknowledged"] + REVOKE_S]
    broken = [(sent, answer) for sent, answer in late if answer.attempt in ran]
    sound = [answer for sent, key, answer in results if key == "key-1" and sent > state["acknowledged"]]
    text = "%d of %d requests with key-2 that were sent over %g s after its removal ran; %d of %d with key-1 were served" % (
        len(broken), len(late), REVOKE_S, sum(a.status == 200 for a in sound), len(sound))
    lab.record(text)
    print(text)
    return not broken if late else None


run_case(main, os.path.dirname(os.path.abspath(__file__)))
