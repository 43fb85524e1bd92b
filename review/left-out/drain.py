"""A stream whose worker leaves and falls silent for a second is sent to that worker again."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import CannotRun, configuration, putConfiguration

DRAIN_S = 2.0
SILENCE_S = 1.0  # "A sound server may fall silent for a second or so and go on"
EVENT_S = 0.14
EVENTS = 20
ROUTES = [
    ("turns", "/turns/", "svc",
     {"kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "gap_target_ms": 150,
      "sticky": True, "resumable": True}),
]
SERVICES = [("svc", {})]


async def case(fleet, record):
    silentAfter = {}  # Worker's name: time from which it is silent.

    async def serve(worker, request):
        first = int(request.headers.get("last-event-id", "0")) + 1
        record(f"{worker.name} runs {request.id} from event {first}")
        fields = {"X-Heathergate-Response-Signature": "sound", "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
        request.writer.write(request.head("200 OK", fields))
        silent = False
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await request.writer.drain()
            if not silent and time.monotonic() > silentAfter.get(worker.name, 1e18):
                silent = True
                silentAfter.pop(worker.name)
                record(f"{worker.name} is silent for {SILENCE_S} s")
                await asyncio.sleep(SILENCE_S)
            await asyncio.sleep(EVENT_S)
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()

    workers = [
        standins.Worker(fleet, record, f"w-{i}", "svc", f"{fleet.net}.{100 + i}", 6, serve)
        for i in range(2)
    ]
    for worker in workers:
        await worker.start()
    if not await putConfiguration(fleet, record, configuration(1, ROUTES, SERVICES)):
        raise CannotRun("the first configuration was not acknowledged")
    gateway = fleet.gateways[0]
    await asyncio.sleep(1.5)

    connection = standins.Connection(gateway.host, fleet.frontPort)
    headers = standins.requestHeaders(3000)
    stream = asyncio.ensure_future(connection.ask("POST", "/turns/x", headers, b"prompt", 5))
    await asyncio.sleep(0.1)
    serving = [w for w in workers if w.arrivals]
    if not serving:
        raise CannotRun("no worker got the stream")
    worker = serving[0]
    worker.state = "draining"
    if not await worker.report():
        raise CannotRun("the worker's report was not acknowledged")
    acknowledged = time.monotonic()
    record(f"{worker.name} reports draining, acknowledged")
    if standins.withTrouble():
        silentAfter[worker.name] = acknowledged + DRAIN_S - 0.5
    answer = await stream
    record(f"client: {answer}")
    await asyncio.sleep(1.0)
    late = [(at - acknowledged, r.id) for at, r in worker.arrivals if at > acknowledged + DRAIN_S]
    for after, name in late:
        record(f"{worker.name} got {name} {after:.3f} s after the acknowledgement")
    for item in workers:
        await item.stop()
    return bool(late)


standins.main(case, controls=3, gateways=1)
