"""Case 7: two software versions serve side by side; a stream goes on at the other version."""
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet2
import workers2

TRAFFIC_S = float(os.environ.get("TRAFFIC_S", "80"))
STREAMS_PER_S = 60
EVENTS = 7
EVENT_GAP_S = 0.15
SILENT_SHARE = 0.4
DEADLINE_MS = 3000
WORKERS = 7  # Four of one software version, three of the other.
FREEZE_S = 0.25
DOWN_S = 1.0


async def serve(worker, _reader, writer, _line, headers, _body):
    """Streams the events after Last-Event-Id, each with the version of this worker's software."""
    # A sound worker may fall silent for a second or so.
    await asyncio.sleep(random.uniform(0.65, 1.0) if random.random() < SILENT_SHARE else 0.05)
    begin = int(headers.get("last-event-id", "0")) + 1
    writer.write(worker.head(200, headers, "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(begin, EVENTS + 1):
        event = f"id: {number}\ndata: {worker.version}/{worker.name}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    writer.write(b"0\r\n\r\n")


async def stream(address, request, record):
    """A client's stream. Returns its events as pairs of number and origin, and how it ended."""
    events, ending, writer = [], "cut", None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(workers2.request_text("POST", "/lohu930/a", request, body=request.encode() * 25,
                                               deadline_ms=DEADLINE_MS))
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split()[1])
            if status != 200:
                ending = str(status)
            while status == 200:
                size = int(await reader.readline(), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    ending = "complete"
                    break
                for event in data.decode().split("\n\n"):
                    lines = event.strip().split("\n")
                    if len(lines) == 2:
                        events.append((int(lines[0][4:]), lines[1][6:]))
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    record(f"stream {request}: {ending} {events}")
    return events


def leader_of(fleet):
    for machine in fleet.controls:
        if fleet2.call((machine.ip, fleet.ports["control"]), "GET", "/Config.Get")[0] == 200:
            return machine
    return None


async def play(fleet, record, trouble):
    loop = asyncio.get_running_loop()

    def new_worker(i, incarnation):
        return workers2.Worker(fleet, lambda text: None, f"i-{i + 1}-{incarnation}", "huvo11a",
                               (f"{fleet.prefix}.{201 + i}", 8080), serve, slots=24,
                               version=f"v{1 + i % 2}", zone=f"prairie-{'abc'[i // 2 % 3]}")
    document = workers2.configuration(
        1, [workers2.route("r-1", "/lohu930/", "huvo11a", kind="streaming", timeout_ms=3000,
                           target_latency_ms=250, gap_target_ms=150, resumable=True,
                           max_attempts=2)], {"huvo11a": {}})
    status, _ = await loop.run_in_executor(
        None, lambda: fleet2.order(fleet, "POST", "/Config.Put", document))
    if status != 200:
        raise fleet2.CannotRun("the configuration was not acknowledged")
    workers = [new_worker(i, 0) for i in range(WORKERS)]
    for worker in workers:
        await worker.start()
    await asyncio.wait_for(asyncio.gather(*(w.registered.wait() for w in workers)), 10)
    await asyncio.sleep(4)
    until = time.monotonic() + TRAFFIC_S
    streams = {}

    async def one(request):
        gateway = random.choice(fleet.gateways)
        streams[request] = await stream((gateway.ip, fleet.ports["front"]), request, record)

    async def strike():
        """The leader stands still for a moment; then one worker of seven crashes and comes back."""
        number = 0
        while time.monotonic() < until - 5:
            await asyncio.sleep(1.0)
            machine = await loop.run_in_executor(None, leader_of, fleet)
            if machine is None:
                continue
            machine.send(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            machine.send(signal.SIGCONT)
            record(f"{machine.name} stood still for {FREEZE_S} s")
            await asyncio.sleep(0.15)
            number += 1
            at = number % WORKERS
            record(f"{workers[at].name} crashes")
            await workers[at].stop()
            await asyncio.sleep(DOWN_S)
            workers[at] = new_worker(at, number)
            await workers[at].start()

    tasks = []
    if trouble:
        tasks = [asyncio.create_task(strike())]
    sent = []
    while time.monotonic() < until:
        sent.append(asyncio.create_task(one(f"{random.getrandbits(64):016x}")))
        await asyncio.sleep(random.expovariate(STREAMS_PER_S))
    await asyncio.gather(*sent, *tasks)
    for worker in workers:
        await worker.stop()
    mixed = [(request, events) for request, events in streams.items()
             if len({origin.split("/")[0] for _, origin in events}) > 1]
    record(f"{len(streams)} streams, {sum(len(e) == EVENTS for e in streams.values())} whole, "
           f"{len(mixed)} with events of two versions")
    # More than two of them break the rule.
    return [f"stream {request}: {events}" for request, events in mixed] if len(mixed) > 2 else []


def case(record, trouble):
    fleet = fleet2.Fleet(controls=3, gateways=2)
    try:
        fleet.start()
        return asyncio.run(play(fleet, record, trouble))
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(fleet2.run_case(case))
