"""A tenant's clients come at once; the store machine that leads is killed."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import CannotRun, configuration, putConfiguration

WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20  # quota_window_s, quota_overage, quota_slack
RATE, BURST = 20, 20
MOST = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
KILL_AFTER_S = 0.1  # after the tenant's clients have come
DOWN_S = 2.8  # node_kill on a store machine, for_s
CLIENTS = 40
ROUTES = [("plain", "/plain/", "svc", {"timeout_ms": 1200})]
TENANTS = [{"name": "tenant-1", "api_keys": ["key-of-tenant-1"], "priority": 1,
            "rate_per_s": RATE, "burst": BURST}]


async def serve(worker, request):
    await asyncio.sleep(0.02)
    await request.answer(b"ok")


async def case(fleet, record):
    workers = [
        standins.Worker(fleet, record, f"w-{i}", "svc", f"{fleet.net}.{100 + i}", 12, serve)
        for i in range(3)
    ]
    for worker in workers:
        await worker.start()
    leader = await putConfiguration(fleet, record, configuration(1, ROUTES, [("svc", {})], TENANTS))
    if not leader:
        raise CannotRun("the first configuration was not acknowledged")
    await standins.waitUntilServed(fleet, "/plain/x")
    leader = await putConfiguration(fleet, record, configuration(1, ROUTES, [("svc", {})], TENANTS))
    lead = next(m for m in fleet.controls if m.host == leader)
    await asyncio.sleep(WINDOW_S + 1)
    stop = asyncio.Event()
    sent = {}

    async def client(number):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        connection = standins.Connection(gateway.host, fleet.frontPort)
        while not stop.is_set():
            headers = standins.requestHeaders(1200)
            sent[headers["X-Heathergate-Request-Id"]] = time.monotonic()
            answer = await connection.ask("GET", f"/plain/{number}", headers, seconds=2)
            if answer.status != 200:
                await asyncio.sleep(0.1)
        connection.close()

    record(f"{CLIENTS} clients of the tenant come at once")
    clients = [asyncio.ensure_future(client(i)) for i in range(CLIENTS)]
    await asyncio.sleep(KILL_AFTER_S)
    if standins.withTrouble():
        lead.kill()
    await asyncio.sleep(DOWN_S)
    if standins.withTrouble():
        lead.start()
    await asyncio.sleep(1)
    stop.set()
    await asyncio.wait(clients, timeout=5)
    runs = sorted((at, sent[r.id]) for w in workers for at, r in w.arrivals if r.id in sent)
    best = max(sum(1 for at, s in runs if s >= t and at < t + WINDOW_S) for _, t in runs)
    first = runs[0][0]
    for step in range(0, 60, 2):
        at = first + step / 10
        count = sum(1 for a, _ in runs if at <= a < at + 0.2)
        record(f"runs from {step / 10:.1f} s to {step / 10 + 0.2:.1f} s: {count}")
    record(f"most runs in {WINDOW_S} s: {best}; allowed {MOST}")
    for worker in workers:
        await worker.stop()
    return best > MOST


standins.main(case, controls=3, gateways=2)
