"""DRAIN: how long the directory names routers that were killed. Arguments: routers, killed ones."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from fleet import CALLER_PORT, DIRECTORY_PORT, Fleet, request, route, service  # noqa: E402


async def main(count, killed):
    fleet = Fleet(os.path.join(HERE, "record.txt"))
    await fleet.start_store()
    fleet.put_config([route("order-place", "/o/", "non_idempotent", "shop-app")], [service("shop-app")])
    await fleet.add_engine("shop-0", "shop-app", "zone-a")
    late, last = 0, 0.0
    try:
        await fleet.add_routers(count)
        await asyncio.sleep(5)
        names = {f"{router.host}:{CALLER_PORT}" for router in fleet.routers[:killed]}
        for router in fleet.routers[:killed]:
            router.signal(signal.SIGKILL)
        begin = fleet.record.now()
        while fleet.record.now() - begin < 13:
            for router in fleet.routers[killed:]:
                status, _, body = await request(router.host, DIRECTORY_PORT, "GET",
                                                "/v1/resolve?name=t.example&region=north&zone=zone-a", [])
                if status == 200 and names & set(json.loads(body)["addresses"]):
                    last = fleet.record.now() - begin
                    late += last > 6
            await asyncio.sleep(0.1)
    finally:
        await fleet.stop()
    print(f"{killed} of {count} killed: the last answer with a killed one after {last:.1f} s, {late} answers after 6 s")


asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
