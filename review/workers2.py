"""Stand-ins of workers and clients for the cases 7 to 10, as PROTOCOL.md describes them."""
import asyncio
import json
import random
import time


async def read_message(reader):
    """Reads one message with a length. Returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def simple_call(address, method, path, body=b"", timeout=1.0):
    """A call at a daemon. Returns status and headers; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                         f"Connection: close\r\n\r\n".encode() + body)
            line, headers, answer = await read_message(reader)
            return int(line.split()[1]), headers, answer
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


async def call_control(controls, method, path, body=b""):
    """Calls a daemon that serves control: follows a 307 twice, then tries the next one."""
    for address in random.sample(controls, len(controls)):
        for _ in range(3):
            status, headers, answer = await simple_call(address, method, path, body)
            if status != 307:
                break
            host, port = headers["location"].split("/")[2].split(":")
            address = (host, int(port))
        if 200 <= status < 300:
            return status
    return status


class Worker:
    """A worker of a service. `serve(worker, reader, writer, line, headers, body)` answers."""

    def __init__(self, fleet, record, name, service, address, serve, slots=6, version="v1",
                 zone="prairie-a"):
        self.controls, self.record = fleet.control_addresses(), record
        self.name, self.service, self.address, self.serve = name, service, address, serve
        self.slots, self.version, self.zone = slots, version, zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = 0
        self.first_beat_s = 0  # After the start.
        self.connections = set()
        self.registered = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.connected, *self.address)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        await asyncio.sleep(self.first_beat_s)
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": self.version, "slots": self.slots, "state": "ready",
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}).encode()
            status = await call_control(self.controls, "POST",
                                        "/Instances.Heartbeat/" + self.name, body)
            if status == 200:
                self.registered.set()
            self.record(f"heartbeat {self.sequence} of {self.name}: {status}")
            await asyncio.sleep(1.2 if status == 200 else 0.2)

    async def connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                wanted = headers.get("x-heathergate-expect-instance", self.name)
                if wanted != self.name:
                    self.answer(writer, 421, headers, b"", not_run=True)
                else:
                    self.runs += 1
                    await self.serve(self, reader, writer, line, headers, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass  # The caller or the case has ended the connection.
        finally:
            self.connections.discard(writer)
            writer.close()

    def head(self, status, headers, extra=""):
        request = headers.get("x-heathergate-request-id", "")
        return (f"HTTP/1.1 {status} X\r\nX-Heathergate-Request-Id: {request}\r\n"
                f"X-Heathergate-Response-Signature: {self.name}.{request}\r\n{extra}")

    def answer(self, writer, status, headers, body, not_run=False):
        extra = "X-Heathergate-Not-Executed: 1\r\n" if not_run else ""
        writer.write(self.head(status, headers, f"{extra}Content-Length: {len(body)}\r\n\r\n")
                     .encode() + body)

    async def stop(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


def request_text(method, path, request, headers=None, body=b"", deadline_ms=1200):
    lines = [f"{method} {path} HTTP/1.1", "Host: ficu95.example",
             f"X-Heathergate-Request-Id: {request}", f"X-Heathergate-Deadline-Ms: {deadline_ms}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def client_request(address, text, timeout=2.5):
    """One request on a new connection. Returns status and headers; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(text)
            line, headers, body = await read_message(reader)
            return int(line.split()[1]), headers, body
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


def route(name, prefix, service, kind="safe", **more):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 1200, "target_latency_ms": 80, "priority": 0, "service": service,
            "max_attempts": 1, "retained": False, "retention_s": 60.0, "public": False, **more}


def configuration(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/health", "max_conns": 244, "protocol": "h1",
                      "tls": False, **more} for name, more in services.items()],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
