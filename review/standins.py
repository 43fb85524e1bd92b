"""Stand-ins of the review's scripts: platform, operator, workers and clients on loopback addresses.

The fleet's own programs are started with the command of deploy/system.toml and the settings
templates of deploy/. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# The bounds of the site pinesreg that the scripts use.
BOUNDS = {"quota_window_s": 5, "grace_s": 8, "ttl_max_s": 5}


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


def withTrouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happened to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:9.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


def render(template, values):
    """Fills in a settings template as the platform does; sections are not needed here."""

    def lookup(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(path)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        return json.dumps(value) if isinstance(value, (bool, dict)) else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


def runCommand():
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        command = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1).split()
    command[0] = os.path.join(ROOT, command[0])
    if not os.access(command[0], os.X_OK):
        raise CannotRun(command[0] + " is not built")
    return command


class Machine:
    """One machine of the fleet with one process of the project."""

    def __init__(self, fleet, name, kind, host, zone):
        self.fleet, self.name, self.kind, self.host, self.zone = fleet, name, kind, host, zone
        self.folder = os.path.join(fleet.folder, name)
        self.disk = os.path.join(self.folder, "disk")
        os.makedirs(self.disk)
        self.process = None

    def start(self, bootstrap=False):
        fleet = self.fleet
        listen = (
            {"front": f"{self.host}:{fleet.frontPort}", "ready": f"{self.host}:{fleet.readyPort}"}
            if self.kind == "gateway"
            else {
                "control": f"{self.host}:{fleet.controlPort}",
                "directory": f"{self.host}:{fleet.directoryPort}",
            }
        )
        values = {
            "node_name": self.name,
            "ip": self.host,
            "zone": self.zone,
            "listen": listen,
            "port_range": [fleet.peerPort, fleet.peerPort],
            "seeds": fleet.seeds,
            "bootstrap": bootstrap,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "data_dir": self.disk if self.kind == "control" else None,
            "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, "deploy", self.kind + ".toml"), encoding="utf-8") as file:
            settings = render(file.read(), values)
        path = os.path.join(self.folder, "settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                runCommand(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HEATHERGATE_CONFIG": path},
            )
        fleet.record(f"platform starts {self.name} at {self.host}, bootstrap {bootstrap}")

    def isRunning(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.isRunning():
            self.process.send_signal(number)
        self.fleet.record(f"platform sends {signal.Signals(number).name} to {self.name}")

    def wait(self, seconds):
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        self.send(signal.SIGKILL)
        self.wait(5)

    def wipe(self):
        shutil.rmtree(self.disk)
        os.makedirs(self.disk)
        self.fleet.record(f"platform: the disk of {self.name} is empty")

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def residentBytes(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0


class Fleet:
    def __init__(self, record, controls=3, gateways=1, spareControls=0):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="heathergate-review-")
        self._chooseAddresses()
        zones = ["zone-a", "zone-b", "zone-c"]
        self.controls = [
            Machine(self, f"storage-{i + 1}", "control", f"{self.net}.{i + 1}", zones[i % 3])
            for i in range(controls + spareControls)
        ]
        self.gateways = [
            Machine(self, f"front-{i + 1}", "gateway", f"{self.net}.{i + 21}", zones[i % 3])
            for i in range(gateways)
        ]
        self.founders = self.controls[:controls]
        self.seeds = [f"{m.host}:{self.controlPort}" for m in self.founders[:3]]

    def _chooseAddresses(self):
        for _ in range(50):
            self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
            ports = random.sample(range(20000, 30000), 5)
            hosts = [f"{self.net}.{i}" for i in (1, 2, 3, 4, 21, 22, 23)]
            if all(self._isFree(host, port) for host in hosts for port in ports + [9464]):
                self.frontPort, self.readyPort, self.controlPort = ports[:3]
                self.directoryPort, self.peerPort = ports[3:]
                return
        raise CannotRun("no free loopback addresses")

    @staticmethod
    def _isFree(host, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
        return True

    def start(self):
        for machine in self.founders + self.gateways:
            machine.start(bootstrap=True)

    def stop(self):
        for machine in self.controls + self.gateways:
            if machine.isRunning():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status=0, headers=None, body=b"", complete=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.complete, self.error = complete, error

    def __str__(self):
        if self.error:
            return f"{self.status or 'no answer'} ({self.error}, {len(self.body)} bytes)"
        return f"{self.status} with {len(self.body)} bytes"


async def readHead(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def readBody(reader, headers, onBytes):
    """Passes the body to onBytes as it arrives; returns when it is complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size:
                await onBytes(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                return
    left = int(headers.get("content-length", "0"))
    while left > 0:
        piece = await reader.read(min(left, 65536))
        if not piece:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(piece)
        await onBytes(piece)


class Connection:
    """A client's connection that is kept for many requests."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port), 1
        )

    def close(self):
        if self.writer:
            self.writer.close()
            self.reader = self.writer = None

    async def ask(self, method, path, headers, body=b"", seconds=10.0, onBytes=None):
        answer = Answer()
        pieces = []

        async def collect(piece):
            pieces.append(piece)
            if onBytes:
                await onBytes(piece)

        async def exchange():
            if self.writer is None:
                await self.open()
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self.writer.drain()
            first, answer.headers = await readHead(self.reader)
            answer.status = int(first.split()[1])
            await readBody(self.reader, answer.headers, collect)
            answer.complete = True

        try:
            await asyncio.wait_for(exchange(), seconds)
        except asyncio.TimeoutError:
            answer.error = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
            answer.error = type(error).__name__
        answer.body = b"".join(pieces)
        if not answer.complete or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer


async def callControl(fleet, machines, method, path, body=None, seconds=1.0):
    """One call as an operator or a worker makes it: any control daemon, a 307 followed twice."""
    data = json.dumps(body).encode() if body is not None else b""
    answer = Answer(error="no daemon")
    for machine in machines:
        host, port = machine.host, fleet.controlPort
        target = path
        for _ in range(3):
            connection = Connection(host, port)
            answer = await connection.ask(
                method, target, {"Host": f"{host}:{port}", "Content-Type": "application/json"},
                data, seconds,
            )
            connection.close()
            if answer.status != 307:
                break
            location = re.match(r"http://([^:/]+):(\d+)(/.*)", answer.headers.get("location", ""))
            if not location:
                break
            host, port, target = location.group(1), int(location.group(2)), location.group(3)
        if answer.complete and answer.status < 500 and answer.status != 307:
            answer.by = host
            return answer
    return answer


class Worker:
    """A worker: answers requests and reports itself. `serve` answers one request."""

    def __init__(self, fleet, record, name, service, host, slots, serve, state="ready"):
        self.fleet, self.record, self.name, self.service = fleet, record, name, service
        self.host, self.slots, self.serve, self.state = host, slots, serve, state
        self.port = 0
        self.server = None
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.arrivals = []
        self.version = "v1"
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.ensure_future(self._report())

    def reportFor(self, port):
        """Reports a worker that runs in a process of its own."""
        self.port = port
        self.beats = asyncio.ensure_future(self._report())

    async def stop(self):
        self.beats.cancel()
        if self.server:
            self.server.close()

    async def crash(self):
        """Ends at once, with all its connections."""
        await self.stop()
        for writer in list(self.connections):
            writer.transport.abort()

    async def report(self):
        self.sequence += 1
        state = self.state
        answer = await callControl(
            self.fleet,
            [m for m in self.fleet.controls if m.isRunning()],
            "POST",
            f"/Instances.Heartbeat/{self.name}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "zone-a",
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )
        return answer.complete and answer.status // 100 == 2

    async def _report(self):
        while True:
            try:
                await self.report()
            except Exception as error:  # A lost report is sent again.
                self.record(f"{self.name}: report failed: {error!r}")
            await asyncio.sleep(1.2)

    async def _accept(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await readHead(reader)
                method, path, _ = first.split(" ", 2)
                body = bytearray()

                async def collect(piece):
                    body.extend(piece)

                await readBody(reader, headers, collect)
                if headers.get("x-heathergate-expect-instance", self.name) != self.name:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nX-Heathergate-Not-Executed: 1\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    await writer.drain()
                    continue
                request = Request(method, path, headers, bytes(body), writer)
                self.arrivals.append((time.monotonic(), request))
                await self.serve(self, request)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Request:
    def __init__(self, method, path, headers, body, writer):
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.writer = writer
        self.id = headers.get("x-heathergate-request-id", "")

    def head(self, status, fields):
        lines = [f"HTTP/1.1 {status}", f"X-Heathergate-Request-Id: {self.id}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def answer(self, body, signature="sound"):
        self.writer.write(
            self.head(
                "200 OK",
                {"X-Heathergate-Response-Signature": signature, "Content-Length": len(body)},
            )
            + body
        )
        await self.writer.drain()


def configuration(version, routes, services, tenants=None):
    """A complete configuration. routes: (name, prefix, service, extra fields)."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "review.example",
                "path_prefix": prefix,
                "kind": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 200,
                "priority": 0,
                "service": service,
                "max_attempts": 1,
                "public": False,
                **extra,
            }
            for name, prefix, service, extra in routes
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 300, "protocol": "h1",
             "tls": False, **extra}
            for name, extra in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants
        or [{"name": "tenant-1", "api_keys": ["key-of-tenant-1"], "priority": 1,
             "rate_per_s": 0, "burst": 0}],
    }


async def putConfiguration(fleet, record, document, seconds=15.0):
    """Sends a configuration until it is acknowledged. Returns the address that acknowledged it."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        machines = [m for m in fleet.controls if m.isRunning()]
        random.shuffle(machines)
        answer = await callControl(fleet, machines, "POST", "/Config.Put", document)
        if answer.complete and answer.status == 200:
            record(f"operator: version {document['version']} acknowledged by {answer.by}")
            return answer.by
        if answer.complete and answer.status in (400, 409, 412, 413, 422):
            raise CannotRun(f"configuration refused: {answer}")
        await asyncio.sleep(0.2)
    return None


_requests = 0


def requestHeaders(deadlineMs, **extra):
    global _requests
    _requests += 1
    return {
        "Host": "review.example",
        "X-Heathergate-Request-Id": f"{os.getpid():x}-{_requests}",
        "X-Heathergate-Deadline-Ms": deadlineMs,
        "Api-Key": "key-of-tenant-1",
        **extra,
    }


async def waitUntilServed(fleet, path, seconds=15.0):
    """Waits until a request on the path is served by every gateway."""
    end = time.monotonic() + seconds
    for gateway in fleet.gateways:
        while True:
            connection = Connection(gateway.host, fleet.frontPort)
            answer = await connection.ask("GET", path, requestHeaders(2000), seconds=3)
            connection.close()
            if answer.complete and answer.status == 200:
                break
            if time.monotonic() > end:
                raise CannotRun(f"{gateway.name} does not serve: {answer}")
            await asyncio.sleep(0.2)


def main(case, **fleetOptions):
    """Runs a case: an async function (fleet, record) that returns whether the rule was broken."""
    record = Record(os.path.dirname(os.path.abspath(sys.argv[0])))
    fleet = None
    status = CANNOT_RUN

    def ended(*_):
        raise SystemExit(CANNOT_RUN)

    signal.signal(signal.SIGTERM, ended)
    try:
        fleet = Fleet(record, **fleetOptions)
        fleet.start()
        record(f"trouble: {withTrouble()}")
        broken = asyncio.run(asyncio.wait_for(case(fleet, record), 115))
        status = BROKEN if broken else HELD
        record("result: the rule was broken" if broken else "result: the rule held")
    except CannotRun as error:
        record(f"result: could not run: {error}")
    except (asyncio.TimeoutError, Exception) as error:  # Reported, so that no run counts falsely.
        record(f"result: could not run: {error!r}")
    finally:
        if fleet:
            fleet.stop()
        record.close()
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[status])
    sys.exit(status)
