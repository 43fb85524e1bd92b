"""A stream breaks off; the worker that is asked to go on answers with a failure."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import CannotRun, configuration, putConfiguration

EVENTS = 8
STREAMS = 300
AT_ONCE = 6
WORKERS = 7  # One in trouble is a share of .143.
BREAK_ONE_IN = 50  # garble: share .5 of the workers break off x .02 of their answers
FAILURE = b'event: error\ndata: {"error": "internal error"}\n\n'
ROUTES = [
    ("turns", "/turns/", "svc",
     {"kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "gap_target_ms": 150,
      "sticky": True, "resumable": True}),
]
SERVICES = [("svc", {})]


async def case(fleet, record):
    begun, resumed = {}, {}
    troubled = []  # The first worker to begin 10 streams is the one in trouble.

    async def serve(worker, request):
        first = int(request.headers.get("last-event-id", "0")) + 1
        fields = {"X-Heathergate-Response-Signature": "sound", "Content-Type": "text/event-stream"}
        name = worker.name
        if first == 1:
            begun[name] = begun.get(name, 0) + 1
        if not troubled and begun.get(name, 0) >= 10 and standins.withTrouble():
            troubled.append(name)
        isInTrouble = name in troubled
        breaksOff = isInTrouble and first == 1 and begun[name] % BREAK_ONE_IN == 10
        if isInTrouble and first > 1:
            resumed[name] = resumed.get(name, 0) + 1
            # srv_grey, errors: it fails x .4 of these requests, and none of the others.
            if resumed[name] % 5 in (1, 2):
                record(f"{worker.name} answers {request.id}, to go on at event {first}, with 500")
                fields["Content-Length"] = len(FAILURE)
                request.writer.write(request.head("500 Internal Server Error", fields) + FAILURE)
                await request.writer.drain()
                return
        fields["Transfer-Encoding"] = "chunked"
        request.writer.write(request.head("200 OK", fields))
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await request.writer.drain()
            await asyncio.sleep(0.03)
            if breaksOff and number == EVENTS // 2:
                record(f"{worker.name} breaks off its answer to {request.id}")
                request.writer.transport.abort()
                return
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()

    workers = [
        standins.Worker(fleet, record, f"w-{i}", "svc", f"{fleet.net}.{100 + i}", 6, serve)
        for i in range(WORKERS)
    ]
    for worker in workers:
        await worker.start()
    if not await putConfiguration(fleet, record, configuration(1, ROUTES, SERVICES)):
        raise CannotRun("the first configuration was not acknowledged")
    await asyncio.sleep(1.5)

    joined = []
    complete = 0

    async def client(number):
        nonlocal complete
        connection = standins.Connection(fleet.gateways[0].host, fleet.frontPort)
        for i in range(STREAMS // AT_ONCE):
            headers = standins.requestHeaders(3000)
            body = f"prompt {number} {i}".encode()
            answer = await connection.ask("POST", "/turns/x", headers, body, 5)
            complete += answer.complete and answer.status == 200
            if answer.status == 200 and FAILURE in answer.body:
                joined.append(headers["X-Heathergate-Request-Id"])
                record(f"client, {joined[-1]}: {answer}; body: {answer.body!r}")
            elif not answer.complete or answer.status != 200:
                record(f"client, {headers['X-Heathergate-Request-Id']}: {answer}")
        connection.close()

    await asyncio.gather(*[client(i) for i in range(AT_ONCE)])
    record(f"in trouble: {troubled}; streams begun: {begun}; taken up: {resumed}")
    record(f"{complete} of {STREAMS} streams complete")
    record(f"answers with status 200 that hold the failure of another run: {len(joined)}")
    for worker in workers:
        await worker.stop()
    return len(joined) > 0


standins.main(case, controls=3, gateways=1)
