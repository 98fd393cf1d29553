"""Shows what becomes of an engine's 503 without X-Not-Executed, and of a trailer field of a request."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from fleet import CALLER_PORT, Fleet, call_fields, read_head, request, route, service  # noqa: E402

MODELS = []


async def behave(engine, attempt, fields, writer):
    MODELS.append([value for name, value in fields if name.lower() == "x-model"])
    if attempt != "fails":
        return None
    writer.write(b"HTTP/1.1 503 X\r\nX-Attempt-Id: fails\r\nX-Origin-Seal: s\r\nContent-Length: 0\r\n\r\n")
    await writer.drain()
    return True


async def main():
    fleet = Fleet(os.path.join(HERE, "record.txt"))
    await fleet.start_store()
    fleet.put_config([route("order-place", "/o/", "non_idempotent", "shop-app")], [service("shop-app")])
    (await fleet.add_engine("shop-0", "shop-app", "zone-a")).behave = behave
    try:
        await fleet.add_routers(1)
        host = fleet.routers[0].host
        status, _, _ = await request(host, CALLER_PORT, "POST", "/o/x", call_fields("fails"), b"order")
        reader, writer = await asyncio.open_connection(host, CALLER_PORT)
        head = "".join(f"{name}: {value}\r\n" for name, value in call_fields("trailer") + [("X-Model", "m")])
        writer.write(f"POST /o/x HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Model: other\r\n\r\n"
                     .encode())
        await read_head(reader)
        writer.close()
        print(f"the run that failed with 503 is answered {status}; X-Model of the request with a trailer: {MODELS[-1]}")
    finally:
        await fleet.stop()


asyncio.run(main())
