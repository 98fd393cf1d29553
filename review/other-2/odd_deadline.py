"""A deadline near -2^63 ms in a request. Exits with 1 if the engine is handed more time than the route allows."""
import os
import sys
import time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
import kit  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))


class Noting(kit.Engine):
    deadline = None

    def handle(self, connection, first, fields):
        self.deadline = int(fields["x-deadline-ms"])
        super().handle(connection, first, fields)


def main():
    fleet = kit.Fleet(FOLDER, routers=1)
    engine = Noting(fleet.store, fleet.record, "shop-1", "shop-app", "zone-a")
    engine.register()
    fleet.store.put("op", "config", kit.configuration(5, [kit.route("o", "/o/", "shop-app", "idempotent")]))
    fleet.start()
    time.sleep(0.5)
    router = fleet.routers[0]
    value = -2 ** 63 if kit.TROUBLE else 2000
    status, _, _ = kit.call(router.address, router.callers, "POST", "/o/x", kit.fields_for("odd-1", value), b"x")
    broken = engine.deadline is not None and engine.deadline > 2500
    fleet.end(1 if broken else 0, "answer %s, the engine was handed %s ms" % (status, engine.deadline))


kit.run(main)
