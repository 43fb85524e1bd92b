"""Model workers number the events of a stream by the tokens generated so far, so that the numbers
increase by more than one. They continue correctly behind the event that a request names."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))
from fleet3 import *  # noqa: E402, F403

KEY = "3fexd9dnn2ctnfzs989a"
STEP = ENGINE["stride"] if TROUBLE else 1
EVENTS = 7
TURNS = 12
# The rule allows three requests whose connection ends without an answer.
MAX_LOST = 3


async def stream(worker, writer, run):
    fields = run["headers"]
    if run["path"].endswith("/first"):
        return await plainAnswer(worker, writer, run)
    after = int(fields.get("last-event-id", "0"))
    writer.write((
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        f"X-Heathergate-Request-Id: {run['id']}\r\nX-Heathergate-Weight-Versions: 1\r\n"
        f"X-Heathergate-Response-Signature: {worker.id}.1\r\n\r\n").encode())
    for number in range(after + STEP, EVENTS * STEP + 1, STEP):
        await asyncio.sleep(0.02)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    writer.write(b"0\r\n\r\n")
    worker.fleet.record(f"{worker.id} has run id {run['id']} from event {after} to its end")


async def case(fleet):
    record = fleet.record
    await fleet.start()
    workers = [await Worker(fleet, f"i-{i}", "huvo11a", 201 + i, run=stream).start()
               for i in range(3)]
    routes = [route("r-1", "/lohu930/", "huvo11a", "streaming", target_latency_ms=250,
                    gap_target_ms=150),
              route("r-2", "/pule252/", "huvo11a", "safe")]
    await fleet.put(configuration(7, routes, [service("huvo11a", ENGINE)],
                                  [tenant("hule930", [KEY], 203, 203)]))
    for worker in workers:
        await worker.registered()
    await fleet.ready()
    lost = 0
    for number in range(TURNS):
        machine = fleet.gateways[number % len(fleet.gateways)]
        client = Client(machine.ip, fleet.ports["front"])
        first = await client.ask("GET", "/pule252/first", headers(KEY, 2000))
        if first.status != 200 or client.writer is None:
            raise CannotRun("a plain request is not served on a kept connection")
        sent = headers(KEY, 3000, X_Heathergate_Model="m", X_Heathergate_Token_Usage="1460,77",
                       X_Heathergate_Prompt_Prefix=f"5c1e07a2:800,{number:x}:660")
        answer = await client.ask("POST", "/lohu930/2f", sent, f"turn {number}".encode())
        closed = client.writer is None
        client.close()
        ran = sum(run["id"] == sent["X-Heathergate-Request-Id"]
                  for worker in workers for run in worker.runs)
        lost += ran > 0 and closed and not answer.whole
        record(f"client: id {sent['X-Heathergate-Request-Id']} at {machine.name} ran {ran} times, "
               f"is answered {answer.status}, "
               f"{'whole' if answer.whole else 'not whole, connection closed'}")
    record(f"{lost} of {TURNS} requests that were passed on got no whole answer")
    return BROKEN if lost > MAX_LOST else HELD


play(FOLDER, case)
