"""Entries of another writer of which 600 small ones fill a page (SMALL=1), or with a space in the key (KEY=space)."""
import os
import sys
import time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
import kit  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))


class Forgetful(kit.Store):
    """Answers the feed with 410 for revisions before the floor."""
    floor = 0

    def answer(self, method, target, body):
        if "rows-feed" in target and int(target.split("since_rev=")[1].split("&")[0]) < self.floor:
            return 410, {}
        return super().answer(method, target, body)


def main():
    kit.Store = Forgetful
    fleet = kit.Fleet(FOLDER, routers=2)
    kit.Engine(fleet.store, fleet.record, "shop-1", "shop-app", "zone-a").register()
    routes = [kit.route("o", "/o/", "shop-app", "non_idempotent")]
    fleet.store.put("op", "config", kit.configuration(5, routes))
    fleet.start()
    time.sleep(1.0)
    key = "job %03d" if os.environ.get("KEY") == "space" else "job&%03d"
    small = os.environ.get("SMALL") == "1"
    for n in range(600 if small else 20):
        fleet.store.put("servers", key % n, os.urandom(10 if small else 65536))
    time.sleep(1.0)
    gets = fleet.store.gets
    first = [round(r.memory_mb()) for r in fleet.routers]
    if os.environ.get("HISTORY") == "lost":
        fleet.store.put("op", "config", kit.configuration(6, routes))
        fleet.store.floor = fleet.store.version + 1
        time.sleep(4.0)
        fleet.store.floor = 0
    else:
        for router in fleet.routers:
            router.kill()
            router.start()
    time.sleep(12.0)
    last = [round(r.memory_mb()) for r in fleet.routers]
    ready = [r.ready() for r in fleet.routers]
    fleet.end(0 if all(ready) and fleet.store.gets - gets < 200 else 1,
              "memory, MB: %s, then %s; ready: %s; rows-get: %d" % (first, last, ready, fleet.store.gets - gets))


kit.run(main)
