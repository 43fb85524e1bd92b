#!/usr/bin/env python3
"""Starts a small fleet on loopback addresses and lets clients misuse it within its documented limits.

Each case checks what does not depend on the machine's speed: the process that is misused lives, its
resident memory and its open descriptors stay under a bound, and one ordinary request is answered
afterwards. The limit of a body is lowered so that a few clients are enough.

Usage: uncontrolled-clients-test.py BINARY [CASE...]
"""

import asyncio
import os
import random
import socket
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review"))
import standins  # noqa: E402

MIB = 1024 * 1024
# Memory of the machine that each process is told of, and that it must stay within.
MEMORY_MB = 64
# Descriptors that a process may have open; the event loop uses at most 1,016.
MAX_DESCRIPTORS = 1024
# Lowered limits of the configuration.
MAX_BODY_BYTES = 1 * MIB
CLIENTS = 64
# Connections that are held open without a request; more than the event loop can hold.
HELD_CONNECTIONS = 1100
# Time for which each misuse goes on while memory and descriptors are observed.
MISUSE_SECONDS = 3.0

CASES = []


def case(function):
    CASES.append(function)
    return function


def descriptors(machine):
    try:
        return len(os.listdir(f"/proc/{machine.process.pid}/fd"))
    except OSError:
        return 0


class Watch:
    """Observes the memory and the descriptors of a process until it is stopped."""

    def __init__(self, machine):
        self.machine, self.mostBytes, self.mostDescriptors = machine, 0, 0
        self.task = asyncio.ensure_future(self._run())

    async def _run(self):
        while True:
            self.mostBytes = max(self.mostBytes, self.machine.residentBytes())
            self.mostDescriptors = max(self.mostDescriptors, descriptors(self.machine))
            await asyncio.sleep(0.01)

    def stop(self):
        self.task.cancel()


async def connect(host, port):
    """Connects without a limit on the time that a refused client waits."""
    try:
        return await asyncio.wait_for(asyncio.open_connection(host, port), 3)
    except (OSError, asyncio.TimeoutError):
        return None, None


async def send(writer, data):
    """Sends as far as the process reads; a refusal ends the client."""
    try:
        writer.write(data)
        await asyncio.wait_for(writer.drain(), MISUSE_SECONDS)
        return True
    except (OSError, asyncio.TimeoutError):
        return False


def requestHead(method, path, **fields):
    headers = standins.requestHeaders(20000, **fields)
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def holdAll(clients):
    """Runs all clients and closes their connections afterwards."""
    writers = []
    tasks = [asyncio.ensure_future(client(writers)) for client in clients]
    await asyncio.wait(tasks, timeout=4 * MISUSE_SECONDS)
    await asyncio.sleep(MISUSE_SECONDS)
    for task in tasks:
        task.cancel()
    return writers


@case
async def bodiesThatStopShort(fleet):
    """Bodies that are sent at once but for their last byte, and stay open."""

    async def client(writers):
        _, writer = await connect(fleet.gateways[0].host, fleet.frontPort)
        if writer:
            writers.append(writer)
            fields = {"Content-Length": MAX_BODY_BYTES}
            await send(writer, requestHead("POST", "/form/x", **fields))
            await send(writer, b"f" * (MAX_BODY_BYTES - 1))

    return fleet.gateways[0], await holdAll([client] * CLIENTS)


@case
async def chunksThatStopShort(fleet):
    """Bodies in small chunks, piece by piece, without their end, and trailers that never end."""

    async def client(writers):
        _, writer = await connect(fleet.gateways[0].host, fleet.frontPort)
        if not writer:
            return
        writers.append(writer)
        await send(writer, requestHead("POST", "/form/x", **{"Transfer-Encoding": "chunked"}))
        piece = b"4000\r\n" + b"f" * 0x4000 + b"\r\n"
        for _ in range(MAX_BODY_BYTES // 0x4000 - 1):
            if not await send(writer, piece):
                return
            await asyncio.sleep(0.002)
        await send(writer, b"0\r\nX-Trailer: ")

    return fleet.gateways[0], await holdAll([client] * CLIENTS)


@case
async def wholeBodies(fleet):
    """Complete bodies of the largest legal size, all at once."""

    async def client(writers):
        _, writer = await connect(fleet.gateways[0].host, fleet.frontPort)
        if writer:
            writers.append(writer)
            fields = {"Content-Length": MAX_BODY_BYTES}
            await send(writer, requestHead("POST", "/form/x", **fields))
            await send(writer, b"f" * MAX_BODY_BYTES)

    return fleet.gateways[0], await holdAll([client] * CLIENTS)


@case
async def unreadResponses(fleet):
    """Long responses that nobody reads."""

    async def client(writers):
        reader, writer = await connect(fleet.gateways[0].host, fleet.frontPort)
        if writer:
            writers.append(writer)
            reader._transport.pause_reading()
            await send(writer, requestHead("GET", "/endless/x"))

    return fleet.gateways[0], await holdAll([client] * 12)


@case
async def slowlyReadResponse(fleet):
    """A body without end that its caller reads more slowly than the upstream sends it."""

    async def client(writers):
        reader, writer = await connect(fleet.gateways[0].host, fleet.frontPort)
        if not writer:
            return
        writers.append(writer)
        await send(writer, requestHead("GET", "/endless/x"))
        while await reader.read(16384):
            await asyncio.sleep(0.01)

    return fleet.gateways[0], await holdAll([client] * 4)


def pipelined(host, port, path):
    async def client(writers):
        reader, writer = await connect(host, port)
        if not writer:
            return
        writers.append(writer)
        reader._transport.pause_reading()
        request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        for _ in range(200):
            if not await send(writer, request * 20):
                return

    return client


@case
async def pipelinedMetrics(fleet):
    """Many requests for metrics on one connection, whose responses nobody reads."""
    gateway = fleet.gateways[0]
    return gateway, await holdAll([pipelined(gateway.host, 9464, "/metrics")] * CLIENTS)


@case
async def pipelinedDirectory(fleet):
    """The same at the directory of a control instance."""
    control = fleet.controls[0]
    client = pipelined(control.host, fleet.directoryPort, "/resolve?name=x&zone=zone-a")
    return control, await holdAll([client] * CLIENTS)


@case
async def bodiesAtTheControlAddress(fleet):
    """Bodies of operators that stop short, and whole ones that are no configuration."""
    control = fleet.controls[0]

    def operator(size, body):
        async def client(writers):
            _, writer = await connect(control.host, fleet.controlPort)
            if writer:
                writers.append(writer)
                head = f"POST /Config.Put HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
                await send(writer, head.encode())
                await send(writer, body)

        return client

    size = 4 * MIB
    clients = [operator(size, b" " * (size - 1))] * (CLIENTS // 4)
    clients += [operator(size, b"[" + b"1," * (size // 2 - 1) + b"1")] * 4
    return control, await holdAll(clients)


@case
async def heldConnections(fleet):
    """More connections than the process has descriptors, held open without a request."""
    gateway = fleet.gateways[0]
    writers = []
    for _ in range(HELD_CONNECTIONS // 50):
        opened = await asyncio.gather(*[connect(gateway.host, fleet.frontPort) for _ in range(50)])
        writers += [writer for _, writer in opened if writer]
    return gateway, writers


@case
async def heldPeerConnections(fleet):
    """The same at the port between instances."""
    gateway = fleet.gateways[0]
    writers = []
    for _ in range(HELD_CONNECTIONS // 50):
        opened = await asyncio.gather(*[connect(gateway.host, fleet.peerPort) for _ in range(50)])
        writers += [writer for _, writer in opened if writer]
    return gateway, writers


async def serve(worker, request):
    if request.path.startswith("/endless/"):
        head = {"X-Heathergate-Response-Signature": "sound", "Content-Length": 1 << 40}
        request.writer.write(request.head("200 OK", head))
        while True:
            request.writer.write(b"e" * 65536)
            await request.writer.drain()
    # The work outlasts the arrival of all bodies.
    await asyncio.sleep(1.0 if request.path.startswith("/form/") else 0.01)
    await request.answer(b"done")


async def isServed(fleet):
    """Returns whether an ordinary request is answered, as callers send it: some times if need be."""
    for _ in range(20):
        connection = standins.Connection(fleet.gateways[0].host, fleet.frontPort)
        headers = standins.requestHeaders(2000)
        answer = await connection.ask("POST", "/form/ordinary", headers, b"name", 4)
        connection.close()
        if answer.complete and answer.status == 200:
            return True
        await asyncio.sleep(0.3)
    return False


async def play(function, binary):
    """Plays a case on a new fleet and returns what was wrong."""
    standins.runCommand = lambda: [binary, "join"]
    record = standins.Record(tempfile.mkdtemp(prefix="heathergate-clients-"))
    fleet = standins.Fleet(record, controls=1, gateways=1)
    workers = [
        standins.Worker(fleet, record, f"w-{i}", "svc", f"{fleet.net}.{100 + i}", 40, serve)
        for i in range(2)
    ]
    problems = []
    try:
        lowerLimits(fleet)
        for worker in workers:
            await worker.start()
        routes = [
            ("form", "/form/", "svc", {"kind": "unsafe", "timeout_ms": 20000}),
            ("endless", "/endless/", "svc", {"kind": "unsafe", "timeout_ms": 20000}),
        ]
        document = standins.configuration(1, routes, [("svc", {})])
        document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        if not await standins.putConfiguration(fleet, record, document):
            raise standins.CannotRun("the configuration was not acknowledged")
        await standins.waitUntilServed(fleet, "/form/x")
        watches = [Watch(machine) for machine in fleet.controls + fleet.gateways]
        machine, writers = await function(fleet)
        # The misused connections are still open while the ordinary request is sent.
        served = await isServed(fleet)
        for watch in watches:
            watch.stop()
            name = watch.machine.name
            if not watch.machine.isRunning():
                problems.append(f"{name} has ended")
            if watch.mostBytes > MEMORY_MB * MIB:
                problems.append(f"{name} used {watch.mostBytes // MIB} MiB of {MEMORY_MB}")
            if watch.mostDescriptors > MAX_DESCRIPTORS:
                problems.append(f"{name} had {watch.mostDescriptors} descriptors open")
        if not served:
            problems.append("an ordinary request was not answered")
        mine = next(watch for watch in watches if watch.machine is machine)
        print(f"   {function.__name__}: {mine.mostBytes // MIB} MiB, {mine.mostDescriptors} "
              f"descriptors at {machine.name}, {len(writers)} connections", flush=True)
        for writer in writers:
            writer.transport.abort()
    except standins.CannotRun as error:
        problems.append(f"could not run: {error}")
    finally:
        for worker in workers:
            await worker.crash()
        fleet.stop()
        record.close()
    return problems


def lowerLimits(fleet):
    """Starts the fleet, with the lowered memory of the machine in the settings."""
    render = standins.render

    def withMemory(template, values):
        # [limits] is the last table of the templates.
        return render(template, values) + f"\nmemory_mb = {MEMORY_MB}\n"

    standins.render = withMemory
    try:
        fleet.start()
    finally:
        standins.render = render


def main():
    binary, names = os.path.abspath(sys.argv[1]), sys.argv[2:]
    passed = failed = 0
    for function in CASES:
        if names and function.__name__ not in names:
            continue
        problems = asyncio.run(play(function, binary))
        if problems:
            failed += 1
            print(f"FAILED: {function.__name__}: {'; '.join(problems)}", flush=True)
        else:
            passed += 1
            print(f"ok: {function.__name__}", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
