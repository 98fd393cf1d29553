"""A configuration moves a streaming route to a service whose events hold three tokens each and are numbered by tokens."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
import lab as stand_ins
from lab import Engine, TROUBLE, asyncio, now, run_case, stream_events

DEADLINE_MS = 6000
EVENTS = 12
PAUSE_S = 0.03
CONFIG_APPLY_S = 2.0  # The site's config_apply_ms.
MOVE_AT_S, BACK_AT_S, END_S = 6.0, 8.5, 16.0


async def numbered_by_one(engine, request, writer, base):
    return await stream_events(engine, request, writer, base, range(1, EVENTS + 1), PAUSE_S)


async def numbered_by_tokens(engine, request, writer, base):
    return await stream_events(engine, request, writer, base, range(3, 3 * EVENTS + 1, 3), PAUSE_S)


async def main(lab):
    await lab.begin(routers=3, zones=("zone-a", "zone-b", "zone-c"))
    for n in range(3):
        zone = "zone-" + "abc"[n]
        first = await Engine(lab, "pool-1", "127.%d.2.%d" % (lab.net, n + 1), zone).join()
        first.behave = numbered_by_one
        second = await Engine(lab, "pool-2", "127.%d.3.%d" % (lab.net, n + 1), zone).join()
        second.behave = numbered_by_tokens

    def brief(service):
        return [lab.route("brief", "/brief/", "streaming", service, timeout_ms=DEADLINE_MS, slo_ms=800, itl_target_ms=400)]

    services = [{"name": name, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                 "cold_per_s": 0.0} for name in ("pool-1", "pool-2")]
    lab.put_config(brief("pool-1"), services=services)
    lab.start_routers()
    if not await lab.all_ready():
        return None
    await asyncio.sleep(3)  # contact_ms: from here on all machines are in touch.
    start = now()
    windows = []  # From the sending of a configuration until config_apply_ms + 1 s after its acknowledgement.
    results = []

    async def operator():
        for at, service in ((MOVE_AT_S, "pool-2"), (BACK_AT_S, "pool-1")):
            await asyncio.sleep(start + at - now())
            sent = now()
            lab.put_config(brief(service), services=services)
            windows.append((sent, now() + CONFIG_APPLY_S + 1.0))

    async def ask(router):
        sent = now()
        answer = await lab.call(router, "POST", "/brief/x", DEADLINE_MS, body=b"a brief")
        results.append((router.name, sent, now(), answer))

    async def callers():
        asked, n = [], 0
        while now() < start + END_S:
            asked.append(asyncio.ensure_future(ask(lab.routers[n % len(lab.routers)])))
            n += 1
            await asyncio.sleep(0.05)
        await asyncio.gather(*asked)

    await asyncio.gather(callers(), *([operator()] if TROUBLE else []))
    ran = {run[1] for run in lab.runs}
    held = True
    for router in lab.routers:
        counts = {True: [0, 0], False: [0, 0]}  # Beside a configuration or not: requests, cut ones.
        for name, sent, ended, answer in results:
            if name == router.name:
                beside = any(begin <= ended <= end for begin, end in windows)
                # The engines break nothing off, and seven tenths of the request's time have not passed.
                cut = not answer.whole and answer.attempt in ran and ended - sent < 0.7 * DEADLINE_MS / 1000
                counts[beside][0] += 1
                counts[beside][1] += cut
        rates = {key: cut / max(1, count) for key, (count, cut) in counts.items()}
        text = "%s: beside configurations %d of %d requests cut, at other times %d of %d" % (
            router.name, counts[True][1], counts[True][0], counts[False][1], counts[False][0])
        lab.record(text)
        print(text)
        held = held and not (counts[True][1] > 0 and rates[True] > 3 * rates[False])
    if not any(answer.whole for _, _, _, answer in results):
        return None
    return held


run_case(main, os.path.dirname(os.path.abspath(__file__)))
