"""A router starts again while the table of engines has entries of another writer.

The script stands in for the platform: it ends a process that takes more than memory_mb and starts it again.
"""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import kit  # noqa: E402

MEMORY_MB = 260          # limits.memory_mb of the site
ENTRIES = 20             # of another writer
ROW_BYTES = 65536        # row_bytes of the site
RECOVER_S = 12.0         # recover_s of the site
RESTART_S = 0.3
WATCHED_S = 36.0
BEFORE = 40             # orders before the fault


def main():
    fleet = kit.Fleet(FOLDER, routers=2)
    engines = [kit.Engine(fleet.store, fleet.record, "shop-%d" % n, "shop-app", kit.ZONES[n % 4], slots=6)
               for n in range(4)]
    for engine in engines:
        engine.register()
    fleet.store.put("op", "config", kit.configuration(5, [kit.route("order", "/order/", "shop-app", "non_idempotent")]))
    fleet.start()
    time.sleep(1.0)
    if kit.TROUBLE:
        for n in range(ENTRIES):
            fleet.store.put("servers", "job&%02d" % n, os.urandom(ROW_BYTES))
        fleet.record("another writer puts %d entries of %d bytes under keys like job&00" % (ENTRIES, ROW_BYTES))
    time.sleep(2.0)
    answers = {"sent": 0, "served": 0}
    ends = {router.name: 0 for router in fleet.routers}
    peak = {router.name: 0.0 for router in fleet.routers}
    over = threading.Event()

    def platform():
        while not over.is_set():
            for router in fleet.routers:
                peak[router.name] = max(peak[router.name], router.memory_mb())
                exceeded = router.memory_mb() > MEMORY_MB
                if exceeded or router.process.poll() is not None:
                    fleet.record("%s ends: %s" % (router.name, "%.0f MB of memory" % router.memory_mb() if exceeded
                                                  else "exit code %s" % router.process.returncode))
                    if exceeded:
                        router.kill()
                    ends[router.name] += 1
                    time.sleep(RESTART_S)
                    router.start()
            time.sleep(0.05)

    def order(number):
        router = fleet.routers[number % 2]
        attempt = "order-%04d" % number
        try:
            status, _, _ = kit.call(router.address, router.callers, "POST", "/order/place",
                                    kit.fields_for(attempt), b"x" * 300, timeout=3.0)
        except (OSError, EOFError) as error:
            status = repr(error)
        answers["served"] += status == 200
        fleet.record("client gets %s from %s for %s" % (status, router.name, attempt))
        return status == 200

    before = sum(order(number) for number in range(BEFORE))
    answers["sent"] = answers["served"] = 0
    # The final fault: a configuration is acknowledged, and all processes are killed.
    fleet.store.put("op", "config", kit.configuration(6, [kit.route("order", "/order/", "shop-app", "non_idempotent")]))
    fleet.record("a configuration is acknowledged")
    for router in fleet.routers:
        router.kill()
    fleet.record("all routers are killed")
    time.sleep(RESTART_S)
    for router in fleet.routers:
        router.start()
    back = time.monotonic()
    threading.Thread(target=platform, daemon=True).start()
    threads = []
    number = BEFORE
    while time.monotonic() - back < WATCHED_S:
        time.sleep(0.1)
        if time.monotonic() - back > RECOVER_S:
            answers["sent"] += 1
            number += 1
            thread = threading.Thread(target=order, args=(number,))
            thread.start()
            threads.append(thread)
    for thread in threads:
        thread.join()
    over.set()
    time.sleep(0.5)
    text = "before the kill served: %d of %d; orders sent over %.0f s after the start: %d, served: %d; processes ended: %s; most memory, MB: %s; rows-get: %d" % (
        before, BEFORE, RECOVER_S, answers["sent"], answers["served"], ends, {k: round(v) for k, v in peak.items()}, fleet.store.gets)
    if before * 4 < BEFORE:
        fleet.end(2, "too few orders were served before the kill: " + text)
    broken = answers["served"] * 4 < answers["sent"] or min(ends.values()) >= 3
    fleet.end(1 if broken else 0, text)


kit.run(main)
