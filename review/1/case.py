"""DRAIN: the whole fleet keeps sending to engines that have said that they leave.

Engines of a service leave shortly after one another, and the store gives no answers for 0.2 s.
TROUBLE=0 leaves the silence out.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from fleet import (CALLER_PORT, Fleet, call_fields, request, route, service)  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0    # Bound drain_ms.
CONTACT_S = 3.0  # Bound contact_ms: the store counts as stable again this long after its silence.
SILENCE_S = 0.2
EXIT_S = 4.0     # A leaving engine goes on for drain_ms "and a little longer (at times many seconds)".
ROUTERS = 3
CLIENTS = 24
ROUNDS = 3


async def main():
    fleet = Fleet(os.path.join(HERE, "record.txt"))
    record = fleet.record
    answers = {}
    stop = asyncio.Event()

    async def client(number):
        sent = 0
        while not stop.is_set():
            sent += 1
            attempt = f"c{number}-{sent}"
            router = fleet.routers[(number + sent) % ROUTERS]
            record.line(f"client sends {attempt} to {router.name}")
            try:
                status, _, _ = await asyncio.wait_for(
                    request(router.host, CALLER_PORT, "POST", "/o/x", call_fields(attempt), b"order"), 3)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                status = type(error).__name__
            answers[status] = answers.get(status, 0) + 1
            record.line(f"client gets {attempt} {status}")
            await asyncio.sleep(0.2)

    async def leave(engine):
        engine.state = "draining"
        engine.register()
        return record.now()

    await fleet.start_store()
    fleet.put_config([route("order-place", "/o/", "non_idempotent", "shop-app")], [service("shop-app")])
    for number in range(2):
        await fleet.add_engine(f"keep-{number}", "shop-app", "zone-a", slots=64, work_ms=100)
    broken = 0
    try:
        await fleet.add_routers(ROUTERS)
        clients = [asyncio.create_task(client(n)) for n in range(CLIENTS)]
        for turn in range(ROUNDS):
            first = await fleet.add_engine(f"first-{turn}", "shop-app", "zone-b", slots=64, work_ms=100)
            second = await fleet.add_engine(f"second-{turn}", "shop-app", "zone-c", slots=64, work_ms=100)
            await asyncio.sleep(5)
            await leave(first)
            await asyncio.sleep(0.15)
            left_at = await leave(second)
            await asyncio.sleep(0.1)
            if TROUBLE:
                fleet.store.mode = "silent"
                record.line("the store gives no answers")
            await asyncio.sleep(SILENCE_S)
            fleet.store.mode = "ok"
            silence_end = record.now()
            record.line("the store gives answers")
            await asyncio.sleep(max(0, left_at + EXIT_S - record.now()))
            record.line(f"{second.name} exits with {second.running} requests at work")
            for engine in (first, second):
                engine.crash()
                fleet.store.erase("servers", engine.name)
            await asyncio.sleep(1)
            calm_at = silence_end + CONTACT_S if TROUBLE else left_at
            late = [at for at, _ in second.runs if at > left_at + DRAIN_S and at > calm_at]
            last = max(at for at, _ in second.runs)
            record.line(f"{second.name}: leaving acknowledged at {left_at:.3f}; {len(late)} requests ran after the "
                        f"bound and over {CONTACT_S} s after the silence; the last run at {last:.3f}, "
                        f"{last - left_at:.3f} s after the acknowledgement")
            broken += len(late)
        stop.set()
        await asyncio.gather(*clients)
        result = f"answers {answers}; requests that a leaving engine ran after the bound: {broken}"
        record.line(result)
        print(result)
    finally:
        await fleet.stop()
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        CODE = asyncio.run(main())
    except Exception as error:  # The case could not run.
        print(f"not run: {error!r}")
        CODE = 2
    sys.exit(CODE)
