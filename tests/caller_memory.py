#!/usr/bin/env python3
"""Guards against callers whose bodies make a router exceed its memory or its descriptors.

Usage: caller_memory.py PROGRAM [CASE...]. Each case starts one router process on loopback, with
memory_mb and max_body_bytes lowered so that few callers suffice. Checks that the process is alive, that
its peak memory (VmHWM) and its open descriptors stay under a bound, and that an ordinary request is
answered afterwards. Times and shares of served requests are not checked.
"""

import asyncio
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
import fleet as standins  # noqa: E402
from fleet import CALLER_PORT, Fleet, Router, call_fields, request, route, service  # noqa: E402

MEMORY_MB = 48            # Bound of VmHWM; memory_mb of the settings.
BODY_BYTES = 1_000_000    # Legal: max_body_bytes is 1,048,576.
LIMIT_BYTES = 1_048_576
CALLERS = 128             # Open at the same time in each pattern; their bodies exceed MEMORY_MB.
DESCRIPTORS = 600         # Bound; max_descriptors of the settings. All patterns open 896 connections.
HOLD_S = 3                # Time for which unfinished bodies stay open.


async def converse(host, number, head, pieces, stall):
    """Sends a body in pieces; stays open when it stops short of the end. Refusals are fine."""
    try:
        reader, writer = await asyncio.open_connection(host, CALLER_PORT)
    except OSError:
        return
    try:
        fields = "".join(f"{name}: {value}\r\n" for name, value in call_fields(f"crowd-{number}", deadline_ms=6000))
        writer.write(f"POST /s/x HTTP/1.1\r\n{fields}{head}\r\n".encode())
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        if stall:
            await asyncio.sleep(HOLD_S)
        else:
            await asyncio.wait_for(reader.read(65536), HOLD_S)
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        writer.transport.abort()


def split(total, size):
    return [b"p" * min(size, total - at) for at in range(0, total, size)]


def chunks(total, size):
    """Chunks of `size`, joined to writes of about 16 KB."""
    chunk = b"%x\r\n%s\r\n" % (size, b"p" * size)
    joined = max(1, 16384 // len(chunk))
    return [chunk * joined] * (total // (size * joined))


def pattern(name, number):
    """Three of four callers stop just short of the end of their body."""
    stall = number % 4 != 0
    missing = 10 if stall else 0
    length = f"Content-Length: {BODY_BYTES}\r\n"
    chunked, last = "Transfer-Encoding: chunked\r\n", [] if stall else [b"0\r\n\r\n"]
    if name == "whole":
        return length, split(BODY_BYTES, BODY_BYTES), False
    if name == "pieces":
        return length, split(BODY_BYTES - missing, 20_000), stall
    if name == "announced":
        return "Content-Length: 60000000\r\n", split(4 * BODY_BYTES, 65536), stall
    if name == "endless":
        return chunked, chunks(8 * BODY_BYTES, 65536), stall
    if name == "large_chunks":
        return chunked, chunks(BODY_BYTES, 50_000) + last, stall
    if name == "small_chunks":
        return chunked, chunks(BODY_BYTES // 4, 4) + last, stall
    if name == "extensions":
        return chunked, [b"1;x=" + b"e" * 65536] * 8, True
    raise ValueError(name)


PATTERNS = ["whole", "pieces", "announced", "endless", "large_chunks", "small_chunks", "extensions"]


def status_kb(pid, name):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith(name + ":"))


async def ordinary(host, attempt):
    try:
        status, _, _ = await asyncio.wait_for(
            request(host, CALLER_PORT, "POST", "/o/x", call_fields(attempt), b"p" * 18_000), 5)
        return status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return type(error).__name__


async def run(case):
    names = PATTERNS if case in ("all", "mixed") else [case]
    cast = Fleet(os.devnull)
    # The stand-ins report connections that the other side has cut.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    try:
        await cast.start_store()
        cast.put_config([route("stream", "/s/", "streaming", "engines", timeout_ms=6000, slo_ms=800),
                         route("plain", "/o/", "unary", "plain")],
                        [service("engines", max_conns=370), service("plain")],
                        limits={"max_header_bytes": 16384, "max_body_bytes": LIMIT_BYTES,
                                "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
        for number in range(4):
            await cast.add_engine(f"engine-{number}", "engines", "zone-a", slots=64, events=17, event_ms=100)
        await cast.add_engine("plain-1", "plain", "zone-a", slots=64)
        router = Router("edge-1", f"{cast.network}.11", "zone-a", cast.store.address, cast.folder)
        router.settings["router"].update(memory_mb=MEMORY_MB, max_descriptors=DESCRIPTORS)
        cast.routers.append(router)
        await router.start()
        if not await router.wait_ready():
            raise RuntimeError("the router did not become ready")
        pid, most, answers = router.process.pid, 0, []
        crowd = asyncio.gather(*[converse(router.host, f"{name}-{n}", *pattern(name, n))
                                 for name in names for n in range(CALLERS)])
        while not crowd.done() and router.process.returncode is None:
            most = max(most, len(os.listdir(f"/proc/{pid}/fd")))
            if case == "mixed":
                answers.append(await ordinary(router.host, f"beside-{len(answers)}"))
            await asyncio.sleep(0.05)
        crowd.cancel()
        faults = []
        if router.process.returncode is not None:
            return [f"the process ended: {router.process.returncode}"]
        after = await ordinary(router.host, "after")
        peak = status_kb(pid, "VmHWM") / 1024
        if peak > MEMORY_MB:
            faults.append(f"{peak:.0f} MB of memory, allowed {MEMORY_MB}")
        if most > DESCRIPTORS:
            faults.append(f"{most} descriptors, allowed {DESCRIPTORS}")
        if after != 200:
            faults.append(f"an ordinary request afterwards got {after}")
        if case == "mixed" and 200 not in answers:
            faults.append("no ordinary request was answered beside the crowd")
        print(f"{case}: peak {peak:.0f} MB, {most} descriptors, afterwards {after}, "
              f"beside {answers.count(200)} of {len(answers)}")
        return faults
    finally:
        await cast.stop()


def main():
    standins.PROGRAM = os.path.abspath(sys.argv[1])
    failed = False
    for case in sys.argv[2:] or PATTERNS + ["all", "mixed"]:
        for fault in asyncio.run(run(case)):
            failed = True
            print(f"FAILED: {case}: {fault}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
