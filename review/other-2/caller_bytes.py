"""A caller sends one more byte after its request and closes its connection. Exits with 1 if the engine works on."""
import os
import sys
import time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-2"))
import kit  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))


class Waiting(kit.Engine):
    closed = None

    def handle(self, connection, first, fields):
        self.begin(fields)
        connection.settimeout(4.0)
        try:
            connection.recv(1)
            self.closed = time.monotonic()
        except OSError:
            pass
        raise OSError


def main():
    fleet = kit.Fleet(FOLDER, routers=1)
    engine = Waiting(fleet.store, fleet.record, "i-1", "llm", "zone-a")
    engine.register()
    fleet.store.put("op", "config", kit.configuration(5, [kit.route("s", "/s/", "llm", "streaming", timeout_ms=9000)]))
    fleet.start()
    time.sleep(0.5)
    router = fleet.routers[0]
    connection = kit.Connection(router.address, router.callers)
    connection.send("POST", "/s/x", kit.fields_for("gone-1", 9000), b"x")
    time.sleep(0.3)
    if kit.TROUBLE:
        connection.socket.sendall(b"\n")
        time.sleep(0.1)
    connection.close()
    left = time.monotonic()
    time.sleep(3.0)
    took = engine.closed - left if engine.closed else None
    fleet.end(1 if took is None or took > 0.5 else 0, "the engine saw the end after: %s s" % took)


kit.run(main)
