"""SIGHUP right after the start of a process. Exits with 1 if it ended a process."""
import os
import sys
import time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
import kit  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))


def main():
    import signal
    fleet = kit.Fleet(FOLDER, routers=1)
    router = fleet.routers[0]
    fleet.store.put("op", "config", kit.configuration(5, [kit.route("o", "/o/", "shop-app", "non_idempotent")]))
    codes = {}
    for delay_ms in (0, 1, 2, 3, 4, 6, 8, 10) if kit.TROUBLE else (50, 100):
        router.start()
        time.sleep(delay_ms / 1000)
        router.send(signal.SIGHUP)
        time.sleep(0.2)
        codes[delay_ms] = router.process.poll()
        if codes[delay_ms] is None:
            router.kill()
    fleet.end(1 if any(c is not None for c in codes.values()) else 0, "exit codes by delay in ms: %s" % codes)


kit.run(main)
