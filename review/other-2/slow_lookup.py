"""An engine that takes 1 s for an idempotent request whose objective is 150 ms, in the first 10 s of a router."""
import os
import sys
import time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
import kit  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))


def main():
    fleet = kit.Fleet(FOLDER, routers=1)
    for n in range(2):
        kit.Engine(fleet.store, fleet.record, "shop-%d" % n, "shop-app", "zone-a",
                   work_s=1.0 if kit.TROUBLE else 0.03).register()
    fleet.store.put("op", "config", kit.configuration(5, [kit.route("o", "/o/", "shop-app", "idempotent")]))
    fleet.start()
    time.sleep(0.5)
    router = fleet.routers[0]
    got = []
    for n in range(5):
        began = time.monotonic()
        status, _, _ = kit.call(router.address, router.callers, "GET", "/o/x", kit.fields_for("slow-%d" % n))
        got.append((status, round(time.monotonic() - began, 2)))
    fleet.end(1 if any(status == 502 for status, _ in got) else 0, "status and seconds: %s" % got)


kit.run(main)
