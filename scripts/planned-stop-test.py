#!/usr/bin/env python3
"""Stops a gateway as planned while callers go on sending it long requests that must run only once.

Each request takes 5 s of the 8 s that its caller waits, and the gateway has 8 s to end. Checks that
every request that was read is answered completely, so that its caller knows what became of it; and
that the ones that reach the upstream after the notice time end within the grace period.

Usage: planned-stop-test.py BINARY
"""

import asyncio
import os
import random
import signal
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review"))
import fleet2  # noqa: E402
import workers2  # noqa: E402

WORK_S = 5.0
DEADLINE_MS = 8000
SEND_EVERY_S = 0.25
# Requests are sent for so long after the signal; the gateway stops listening before.
SEND_FOR_S = 5.0
NOTICE_S = 2.5


async def serve(worker, _reader, writer, _line, headers, _body):
    await asyncio.sleep(WORK_S)
    worker.answer(writer, 200, headers, b"done")


async def play(fleet):
    loop = asyncio.get_running_loop()
    document = workers2.configuration(
        1, [workers2.route("r-1", "/lohu930/", "lohu96a", kind="unsafe", timeout_ms=DEADLINE_MS)],
        {"lohu96a": {}})
    status, _ = await loop.run_in_executor(
        None, lambda: fleet2.order(fleet, "POST", "/Config.Put", document))
    assert status == 200, f"the configuration was answered {status}"
    worker = workers2.Worker(fleet, lambda text: None, "i-1", "lohu96a",
                             (f"{fleet.prefix}.201", 8080), serve, slots=64)
    await worker.start()
    await asyncio.wait_for(worker.registered.wait(), 10)
    await asyncio.sleep(3)
    gateway = fleet.gateways[0]
    address = (gateway.ip, fleet.ports["front"])
    begun = loop.time()
    answers = []

    async def send():
        sent = loop.time() - begun
        runs = worker.runs
        text = workers2.request_text("POST", "/lohu930/a", f"{random.getrandbits(64):016x}",
                                     deadline_ms=DEADLINE_MS)
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return  # It does not listen any more, so that the request has not been read.
        try:
            writer.write(text)
            line, _, _ = await asyncio.wait_for(workers2.read_message(reader), 10)
            answers.append((sent, int(line.split()[1])))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            answers.append((sent, 0 if worker.runs > runs else None))
        finally:
            writer.close()

    gateway.send(signal.SIGTERM)
    tasks = []
    while loop.time() - begun < SEND_FOR_S:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(SEND_EVERY_S)
    await asyncio.gather(*tasks)
    await worker.stop()
    return answers


def link_deployment(folder, binary):
    """Links the deploy file and the binary where the fleet looks for them, without a bench build."""
    os.symlink(os.path.join(ROOT, "deploy"), os.path.join(folder, "deploy"))
    os.mkdir(os.path.join(folder, "target"))
    os.symlink(os.path.abspath(binary), os.path.join(folder, "target", "heathergate"))


def stop_a_gateway():
    fleet = fleet2.Fleet(controls=3, gateways=1)
    try:
        fleet.start()
        answers = asyncio.run(play(fleet))
    finally:
        fleet.stop()
    return answers


def main():
    with tempfile.TemporaryDirectory(prefix="heathergate-stop-") as folder:
        link_deployment(folder, sys.argv[1])
        fleet2.ROOT = folder
        answers = stop_a_gateway()
    for sent, status in answers:
        print(f"sent {sent:.2f} s after the signal: {status}")
    cut = [sent for sent, status in answers if status == 0]
    late = [sent for sent, status in answers if sent > NOTICE_S + 0.1 and status not in (503, None)]
    assert answers and not cut, f"{len(cut)} requests were passed on and cut with no answer"
    assert not late, f"{len(late)} late requests were taken that could outlive the stop"
    print("no request was cut")


if __name__ == "__main__":
    main()
