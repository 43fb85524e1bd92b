"""A store machine is replaced as planned; then one other store machine loses its disk."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import BROKEN, CannotRun, callControl, configuration, putConfiguration

CATCH_UP_S = 4.0
RECOVERY_S = 12.0
READ_S = 20.0
ROUTES = [("plain", "/plain/", "svc", {})]
SERVICES = [("svc", {})]


async def serve(worker, request):
    await asyncio.sleep(0.01)
    await request.answer(b"ok")


async def case(fleet, record):
    founders, spare = fleet.founders, fleet.controls[3]
    workers = [
        standins.Worker(fleet, record, f"w-{i}", "svc", f"{fleet.net}.{100 + i}", 6, serve)
        for i in range(2)
    ]
    for worker in workers:
        await worker.start()
    if not await putConfiguration(fleet, record, configuration(1, ROUTES, SERVICES)):
        raise CannotRun("the first configuration was not acknowledged")
    await standins.waitUntilServed(fleet, "/plain/x")

    record("planned replacement: the successor starts first")
    spare.start()
    await asyncio.sleep(CATCH_UP_S + 1.0)
    leader = await putConfiguration(fleet, record, configuration(2, ROUTES, SERVICES))
    old = next(m for m in founders if m.host != leader)
    old.send(signal.SIGTERM)
    if old.wait(8) is None:
        raise CannotRun("the old machine did not end")
    record(f"{old.name} has ended and is removed for good")
    await asyncio.sleep(1.0)

    leader = await putConfiguration(fleet, record, configuration(3, ROUTES, SERVICES))
    if not leader:
        raise CannotRun("version 3 was not acknowledged")
    lost = next(m for m in fleet.controls if m.host == leader)
    if standins.withTrouble():
        lost.kill()
        lost.wipe()
        await asyncio.sleep(1.0)
        lost.start()
    await asyncio.sleep(CATCH_UP_S + RECOVERY_S)

    record("the operator reads the configuration back")
    newest, served, asked = 0, 0, 0
    end = time.monotonic() + READ_S
    while time.monotonic() < end:
        for machine in fleet.controls:
            if not machine.isRunning():
                continue
            answer = await callControl(fleet, [machine], "GET", "/Config.Get")
            version = json.loads(answer.body).get("version", 0) if answer.status == 200 else 0
            newest = max(newest, version)
            record(f"read at {machine.name}: {answer} version {version}")
        connection = standins.Connection(fleet.gateways[0].host, fleet.frontPort)
        answer = await connection.ask("GET", "/plain/x", standins.requestHeaders(1200), seconds=2)
        connection.close()
        asked += 1
        served += answer.complete and answer.status == 200
        record(f"client: {answer}")
        await asyncio.sleep(1.0)
    for machine in fleet.controls:
        lines = [l for l in machine.log().splitlines() if "part=group" in l or "elected" in l]
        for line in lines:
            record(f"log of {machine.name}: {line}")
    record(f"newest version read: {newest} of 3; served {served} of {asked} requests")
    for worker in workers:
        await worker.stop()
    return newest < 3


standins.main(case, controls=3, gateways=1, spareControls=1)
