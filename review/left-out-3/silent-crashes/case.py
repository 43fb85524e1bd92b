"""A request crashes each worker that begins to run it, and comes again with the same path, caller and
body, at any machine. With TROUBLE the worker falls dark with its crash: its connections are silent
until it is back; without, they are reset at once."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))
from fleet3 import *  # noqa: E402, F403

KEY = "3fexd9dnn2ctnfzs989a"
BODY = b"the request that crashes its workers"
WORKERS = 8
DOWN_S = 4.0
EVERY_S = 2.5
COMES = 12
CONTACT_S = 3.0
MAX_RETRIES = 3


class Crashing(Worker):
    """A worker that crashes with the request, and is back after some seconds under another id."""

    crashes = []  # Times and identifiers of the requests, of all workers.

    async def serve(self, worker, writer, run):
        if run["body"] != BODY:
            return await plainAnswer(worker, writer, run)
        self.crashes.append((time.monotonic(), run["id"]))
        self.fleet.record(f"{self.id} crashes, id {run['id']}")
        asyncio.ensure_future(self.back())
        if not TROUBLE:
            await self.crash()
        else:
            self.heartbeats = False
            await asyncio.sleep(DOWN_S)

    async def back(self):
        await asyncio.sleep(DOWN_S)
        await self.stop()
        self.fleet.workers.remove(self)
        await start(self.fleet, self.number)


started = 0


async def start(fleet, number):
    global started
    started += 1
    worker = Crashing(fleet, f"i-{started}", "wuno96b", 201 + number, slots=6)
    worker.number, worker.run = number, worker.serve
    await worker.start()
    fleet.record(f"{worker.id} starts at {worker.host}")
    return worker


async def case(fleet):
    record = fleet.record
    await fleet.start()
    workers = [await start(fleet, number) for number in range(WORKERS)]
    routes = [route("r-1", "/pule252/", "wuno96b", "unsafe", timeout_ms=2000)]
    await fleet.put(configuration(7, routes, [service("wuno96b")],
                                  [tenant("hule930", [KEY], 203, 203)]))
    for worker in workers:
        await worker.registered()
    await fleet.ready()
    await asyncio.sleep(4)  # All machines are in touch from here on.
    sends = {}
    for number in range(COMES):
        machine = fleet.gateways[number % len(fleet.gateways)]
        sent = headers(KEY, 2000)
        sends[sent["X-Heathergate-Request-Id"]] = time.monotonic()
        begun = time.monotonic()
        answer = await call(machine.ip, fleet.ports["front"], "POST", "/pule252/2f", sent, BODY)
        record(f"client: the request comes to {machine.name}, id "
               f"{sent['X-Heathergate-Request-Id']}, and is answered {answer.status}")
        other = await call(machine.ip, fleet.ports["front"], "POST", "/pule252/2f",
                           headers(KEY, 2000), f"an ordinary order {number}".encode())
        record(f"client: an ordinary order is answered {other.status}")
        await asyncio.sleep(max(0.0, EVERY_S - (time.monotonic() - begun)))
    crashes = Crashing.crashes
    if len(crashes) < MAX_RETRIES:
        raise CannotRun("the request has crashed fewer than three workers")
    third = crashes[MAX_RETRIES - 1][0]
    retries = {id for at, id in crashes if sends.get(id, 0) > third + CONTACT_S}
    record(f"{len(crashes)} workers crashed; {len(retries)} retries that were sent more than "
           f"{CONTACT_S} s after the third crash reached a worker")
    return BROKEN if len(retries) > MAX_RETRIES else HELD


play(FOLDER, case)
