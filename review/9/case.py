"""Case 9: a heartbeat of another writer, with a service that isn't named, replaces a worker."""
import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet2
import workers2

TRAFFIC_S = 20.0
SETTLE_S = 3.0
GAP_S = 0.05  # Between two requests on a route.


async def serve(worker, _reader, writer, _line, headers, _body):
    await asyncio.sleep(0.01)
    worker.answer(writer, 200, headers, b"x" * 800)


async def traffic(fleet, record, prefix, until, served):
    """Sends requests on a route. Notes for each if it was answered with success by its worker."""
    number = 0
    while time.monotonic() < until:
        number += 1
        request = f"{random.getrandbits(64):016x}"
        gateway = random.choice(fleet.gateways)
        sent = time.monotonic()
        status, headers, _ = await workers2.client_request(
            (gateway.ip, fleet.ports["front"]), workers2.request_text("GET", prefix + "a", request))
        good = status == 200 and "x-heathergate-response-signature" in headers
        served.append((sent, good))
        record(f"request {request} on {prefix} at {gateway.name}: {status}")
        await asyncio.sleep(GAP_S)


async def play(fleet, record, trouble):
    workers = []
    for i, service in enumerate(["lohu96a", "lohu96a", "wuno96b", "wuno96b"]):
        workers.append(workers2.Worker(fleet, record, f"i-{i + 1}", service,
                                       (f"{fleet.prefix}.{201 + i}", 8080), serve))
    loop = asyncio.get_running_loop()

    async def put(version, routes):
        document = workers2.configuration(version, routes, {"lohu96a": {}, "wuno96b": {}})
        status, _ = await loop.run_in_executor(
            None, lambda: fleet2.order(fleet, "POST", "/Config.Put", document))
        record(f"configuration {version}: {status}")
        if status != 200:
            raise fleet2.CannotRun("the configuration was not acknowledged")
    first = workers2.route("r-1", "/lohu930/", "lohu96a")
    later = workers2.route("r-2", "/pule252/", "wuno96b")
    await put(1, [first])
    for worker in workers:
        await worker.start()
    await asyncio.wait_for(asyncio.gather(*(w.registered.wait() for w in workers)), 10)
    await put(4, [first, later])
    await asyncio.sleep(SETTLE_S)
    begun = time.monotonic()
    served = {"/lohu930/": [], "/pule252/": []}
    senders = [asyncio.create_task(traffic(fleet, record, prefix, begun + TRAFFIC_S, seen))
               for prefix, seen in served.items()]
    await asyncio.sleep(3)
    if trouble:
        for worker in workers[2:]:
            body = json.dumps({
                "service": "nosuch", "address": f"{worker.address[0]}:{worker.address[1]}",
                "zone": "prairie-b", "version": "v1", "slots": 6, "state": "ready",
                "cold_remaining_ms": 0, "sequence": 1,
                "born": int(time.time() * 1000)}).encode()
            status = await workers2.call_control(fleet.control_addresses(), "POST",
                                                 f"/Instances.Heartbeat/x-{worker.name}", body)
            record(f"heartbeat of another writer, service nosuch, address of {worker.name}: "
                   f"{status}")
    struck = time.monotonic()
    await asyncio.gather(*senders)
    for worker in workers:
        await worker.stop()
    shares = {}
    for prefix, seen in served.items():
        later_ones = [good for sent, good in seen if sent > struck + SETTLE_S]
        shares[prefix] = sum(later_ones) / max(len(later_ones), 1)
        record(f"{prefix}: {sum(later_ones)} of {len(later_ones)} served in steady state")
        if len(later_ones) < 20:
            raise fleet2.CannotRun("too few requests")
    if shares["/pule252/"] < shares["/lohu930/"] / 4:
        return [f"the later route is served at {shares['/pule252/']:.3f}, the first one at "
                f"{shares['/lohu930/']:.3f}"]
    return []


def case(record, trouble):
    fleet = fleet2.Fleet(controls=3, gateways=2)
    try:
        fleet.start()
        return asyncio.run(play(fleet, record, trouble))
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(fleet2.run_case(case))
