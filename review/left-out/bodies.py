"""Many users come at once, each with a body as long as the configuration allows."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import CannotRun, configuration, putConfiguration

MEMORY_BYTES = 96 * 1024 * 1024  # memory_mb of a front machine of the site pinesreg
LINK_BYTES_PER_S = 700e6 / 8  # link_mbps of the site
BODY_BYTES = 4194304  # max_body_bytes of the configuration
USERS = 12
ROUTES = [
    ("charge", "/charge/", "svc", {"kind": "unsafe", "timeout_ms": 2000}),
    ("form", "/form/", "svc", {"kind": "unsafe", "timeout_ms": 2000}),
]
SERVICES = [("svc", {})]


async def serve(worker, request):
    """A sound worker: does the work and answers."""
    await asyncio.sleep(0.2 if request.path.startswith("/charge/") else 0.05)
    await request.answer(b"done")


async def case(fleet, record):
    gateway = fleet.gateways[0]
    workers = [
        standins.Worker(fleet, record, f"w-{i}", "svc", f"{fleet.net}.{100 + i}", 12, serve)
        for i in range(2)
    ]
    for worker in workers:
        await worker.start()
    if not await putConfiguration(fleet, record, configuration(1, ROUTES, SERVICES)):
        raise CannotRun("the first configuration was not acknowledged")
    await standins.waitUntilServed(fleet, "/charge/x")

    state = {"most": 0, "killed": 0}
    stop = asyncio.Event()
    lost = []
    link = {"free": 0.0}

    async def platform():
        while not stop.is_set():
            used = gateway.residentBytes()
            state["most"] = max(state["most"], used)
            if used > MEMORY_BYTES:
                record(f"platform: {gateway.name} uses {used >> 20} MB of {MEMORY_BYTES >> 20}")
                gateway.kill()
                state["killed"] += 1
                await asyncio.sleep(0.5)
                gateway.start()
            await asyncio.sleep(0.01)

    async def chargeClient(number):
        connection = standins.Connection(gateway.host, fleet.frontPort)
        while not stop.is_set():
            wasKept = connection.writer is not None
            headers = standins.requestHeaders(2000)
            answer = await connection.ask("POST", "/charge/x", headers, b"amount", 4)
            name = headers["X-Heathergate-Request-Id"]
            hasRun = any(r.id == name for w in workers for _, r in w.arrivals[-100:])
            if wasKept and hasRun and not answer.status:
                lost.append(name)
            if not answer.complete or answer.status != 200:
                record(f"charge {name} kept {wasKept} at a worker {hasRun}: {answer}")
            await asyncio.sleep(0.05 if answer.complete else 0.3)
        connection.close()

    async def user(number):
        """Sends one form, no faster than the link allows to all users together."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(gateway.host, fleet.frontPort), 1
            )
            headers = standins.requestHeaders(2000, **{"Content-Length": BODY_BYTES})
            lines = ["POST /form/x HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            left = BODY_BYTES
            while left:
                piece = min(left, 32768)
                link["free"] = max(link["free"], time.monotonic()) + piece / LINK_BYTES_PER_S
                await asyncio.sleep(max(link["free"] - time.monotonic(), 0))
                writer.write(b"f" * piece)
                await writer.drain()
                left -= piece
            first, _ = await asyncio.wait_for(standins.readHead(reader), 4)
            record(f"form of user {number}: {first}")
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            record(f"form of user {number}: {type(error).__name__}")

    tasks = [asyncio.ensure_future(platform())]
    tasks += [asyncio.ensure_future(chargeClient(i)) for i in range(8)]
    await asyncio.sleep(3)
    record(f"memory so far: {state['most'] >> 20} MB")
    if standins.withTrouble():
        record(f"{USERS} users come at once")
        await asyncio.gather(*[user(i) for i in range(USERS)])
    else:
        record(f"{USERS} users come one after the other")
        for i in range(USERS):
            await user(i)
    await asyncio.sleep(4)
    stop.set()
    await asyncio.wait(tasks, timeout=5)
    record(f"most memory: {state['most'] >> 20} MB; killed {state['killed']} times")
    record(f"requests of kept connections at a sound worker, closed without answer: {len(lost)}")
    for worker in workers:
        await worker.stop()
    return len(lost) > 3


standins.main(case, controls=3, gateways=1)
