"""A request that crashes workers comes again while the store machines are restarted in turn."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import CannotRun, callControl, configuration, putConfiguration

CONTACT_S = 3.0
BACK_S = 2.0  # A crashed worker is back after some seconds.
ROUTES = [
    ("plain", "/plain/", "svc", {}),
    ("charge", "/charge/", "svc", {"kind": "unsafe"}),
]
SERVICES = [("svc", {})]
POISON = "/plain/crash"


class CrashingWorker:
    """A worker that crashes when it begins to run the request, and is back as a new incarnation."""

    def __init__(self, fleet, record, number, crashes):
        self.fleet, self.record, self.number, self.crashes = fleet, record, number, crashes
        self.incarnation = 0
        self.isUp = False

    async def start(self):
        self.incarnation += 1
        name = f"w-{self.number}-{self.incarnation}"
        host = f"{self.fleet.net}.{100 + self.number}"
        self.worker = standins.Worker(self.fleet, self.record, name, "svc", host, 6, self.serve)
        await self.worker.start()
        self.isUp = True

    async def serve(self, worker, request):
        if request.path != POISON:
            await asyncio.sleep(0.3 if request.path.startswith("/charge/") else 0.01)
            return await request.answer(b"ok")
        self.crashes.append((time.monotonic(), request.id))
        self.record(f"{worker.name} crashes at {request.id}, crash number {len(self.crashes)}")
        self.isUp = False
        await worker.crash()
        asyncio.get_running_loop().call_later(
            BACK_S, lambda: asyncio.ensure_future(self.start())
        )


async def case(fleet, record):
    crashes = []
    workers = [CrashingWorker(fleet, record, i, crashes) for i in range(3)]
    for worker in workers:
        await worker.start()
    if not await putConfiguration(fleet, record, configuration(1, ROUTES, SERVICES)):
        raise CannotRun("the first configuration was not acknowledged")
    await standins.waitUntilServed(fleet, "/plain/x")
    gateway = fleet.gateways[0]

    async def send(path):
        connection = standins.Connection(gateway.host, fleet.frontPort)
        headers = standins.requestHeaders(1200)
        answer = await connection.ask("GET", path, headers, seconds=2)
        connection.close()
        record(f"client sends {path} as {headers['X-Heathergate-Request-Id']}: {answer}")
        return answer

    stop = asyncio.Event()
    brokenOff = []

    async def chargeClient(number):
        connection = standins.Connection(gateway.host, fleet.frontPort)
        while not stop.is_set():
            headers = standins.requestHeaders(2000)
            answer = await connection.ask("POST", "/charge/x", headers, f"{number}".encode(), 4)
            if answer.status == 502 or not answer.complete:
                brokenOff.append(time.monotonic())
                record(f"charge {headers['X-Heathergate-Request-Id']}: {answer}")
            await asyncio.sleep(0.1)
        connection.close()

    charges = [asyncio.ensure_future(chargeClient(i)) for i in range(6)]

    async def allUp():
        while not all(worker.isUp for worker in workers):
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)

    for _ in range(5):
        await allUp()
        await send(POISON)
    if len(crashes) < 3:
        raise CannotRun(f"only {len(crashes)} crashes")
    third = crashes[2][0]
    record(f"{len(crashes)} crashes before the restarts")

    for step in range(3):
        leader = await putConfiguration(fleet, record, configuration(2 + step, ROUTES, SERVICES))
        machine = next(m for m in fleet.controls if m.host == leader)
        if standins.withTrouble():
            machine.send(signal.SIGTERM)
            if machine.wait(8) is None:
                raise CannotRun(f"{machine.name} did not end")
            await asyncio.sleep(0.3)
            machine.start()
        # All machines are in touch again after CONTACT_S.
        await asyncio.sleep(max(CONTACT_S + 1.0, third + CONTACT_S + 0.5 - time.monotonic()))
        for _ in range(4):
            await allUp()
            await send(POISON)
        await send("/plain/x")

    late = [name for at, name in crashes[3:] if at > third + CONTACT_S]
    record(f"retries that reached a worker later than contact_ms after crash 3: {len(late)}")
    lost = sum(at > third + CONTACT_S for at in brokenOff)
    record(f"requests of other clients that these crashes broke off: {lost}")
    stop.set()
    await asyncio.wait(charges, timeout=5)
    for worker in workers:
        await worker.worker.stop()
    return len(late) > 3


standins.main(case, controls=3, gateways=1)
