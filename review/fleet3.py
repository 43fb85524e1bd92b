"""A small deployment on loopback addresses: the project's own processes, started with the commands
of deploy/system.toml, and stand-ins for the platform, the operator, workers and clients.

A case imports this module from its folder, builds a `Fleet`, plays its events and ends with
`verdict`. All stand-ins do only what the users' pages describe.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["prairie-a", "prairie-b", "prairie-c"]

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._begun = time.monotonic()

    def now(self):
        return time.monotonic() - self._begun

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def readRoles(path):
    """Reads the roles of the deploy file, which are tables of one line a key."""
    roles, role = {}, None
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.startswith("[roles."):
                role = roles.setdefault(line.strip()[len("[roles."):-1], {})
            elif role is not None and "=" in line and not line.startswith("#"):
                name, value = line.split("=", 1)
                role[name.strip()] = json.loads(value)
    return roles


def fill(template, values):
    """Fills in the placeholders that the project's templates use."""

    def replace(match):
        name, _, form = match.group(1).partition("|")
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                break
        if form == "json" or isinstance(value, (bool, dict)):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}#/^]+)\}\}", replace, template)


class Machine:
    """One machine with one process of the project, and the platform that starts it."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.process = None
        self.bootstrap = True
        self.exits = []
        self.stopping = False
        self.restarts = True
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        self._watch = None

    def settings(self):
        ports = self.fleet.ports
        description = self.fleet.roles[self.role]
        listen = {}
        for service in description["serves"]:
            if service == "front":
                listen["front"] = f"{self.ip}:{ports['front']}"
                listen["ready"] = f"{self.ip}:{ports['ready']}"
            elif service in ("control", "directory"):
                listen[service] = f"{self.ip}:{ports[service]}"
        return {
            "node_name": self.name, "role": self.role, "machine_class": description["on"],
            "serves": description["serves"], "ip": self.ip, "zone": self.zone, "region": "prairie",
            "listen": listen, "port_range": [ports["peer"], ports["peer"] + 15],
            "seeds": self.fleet.seeds, "bootstrap": self.bootstrap,
            "data_dir": os.path.join(self.folder, "data"),
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"quota_window_s": 5, "grace_s": 8, "ttl_max_s": 5}}

    def writeSettings(self):
        path = os.path.join(self.folder, "boot.toml")
        template = os.path.join(ROOT, self.fleet.roles[self.role]["template"])
        with open(template, encoding="utf-8") as file:
            text = fill(file.read(), self.settings())
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    async def start(self):
        path = self.writeSettings()
        command = self.fleet.roles[self.role]["run"].split()
        output = open(os.path.join(self.folder, "output"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                       "HEATHERGATE_CONFIG": path}
        for name in ("ASAN_OPTIONS", "UBSAN_OPTIONS"):
            if name in os.environ:
                environment[name] = os.environ[name]
        if "HEATHERGATE_BINARY" in os.environ:
            command[0] = os.environ["HEATHERGATE_BINARY"]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=output, stderr=output, start_new_session=True)
        output.close()
        self.fleet.record(f"{self.name} starts, process {self.process.pid}")
        self._watch = asyncio.ensure_future(self._watchEnd(self.process))

    async def _watchEnd(self, process):
        status = await process.wait()
        self.exits.append(status)
        self.fleet.record(f"{self.name} has ended with {status}")
        if self.restarts and not self.fleet.isStopping:
            await asyncio.sleep(0.5)
            if self.restarts and not self.fleet.isStopping:
                self.bootstrap = False
                await self.start()

    def send(self, number):
        self.fleet.record(f"{self.name} gets signal {signal.Signals(number).name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def residentBytes(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    def output(self):
        with open(os.path.join(self.folder, "output"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def end(self):
        self.restarts = False
        if self.process and self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                with contextlib.suppress(ProcessLookupError):
                    self.process.send_signal(number)
            await self.process.wait()


class Fleet:
    """Three machines for control and some gateways, each with a loopback address of its own."""

    def __init__(self, record, gateways=3, controls=3):
        self.record = record
        self.isStopping = False
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._temporary.name
        self.roles = readRoles(os.path.join(ROOT, "deploy/system.toml"))
        self.prefix, self.ports = self._freeAddresses()
        self.controls = [Machine(self, f"storage-{ZONES[i % 3]}-{i // 3 + 1}", "control",
                                 self.address(1 + i), ZONES[i % 3]) for i in range(controls)]
        self.gateways = [Machine(self, f"front-{ZONES[i % 3]}-{i // 3 + 1}", "gateway",
                                 self.address(101 + i), ZONES[i % 3]) for i in range(gateways)]
        self.seeds = [f"{machine.ip}:{self.ports['control']}" for machine in self.controls[:3]]
        self.workers = []

    @staticmethod
    def _freeAddresses():
        for _ in range(50):
            prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            base = random.randint(12000, 30000)
            try:
                for port in range(base, base + 20):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.1", port))
            except OSError:
                continue
            names = ["front", "ready", "control", "directory", "peer"]
            return prefix, {name: base + i for i, name in enumerate(names)}
        raise CannotRun("no free addresses")

    def address(self, number):
        return f"{self.prefix}.{number}"

    def machines(self):
        return self.controls + self.gateways

    async def start(self):
        for machine in self.machines():
            await machine.start()

    async def ready(self, count=None, seconds=20):
        """Waits until that many gateways say that they are ready."""
        wanted = len(self.gateways) if count is None else count
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            good = 0
            for machine in self.gateways:
                answer = await call(machine.ip, self.ports["ready"], "GET", "/ready", seconds=1)
                good += answer.status == 200
            if good >= wanted:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the gateways do not get ready")

    async def order(self, method, path, document=None, seconds=15):
        """An operator's call: another machine after a failure, the named one after a 307."""
        body = b"" if document is None else json.dumps(document).encode()
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            host, port = self.controls[number % len(self.controls)].ip, self.ports["control"]
            number += 1
            for _ in range(3):
                answer = await call(host, port, method, path, {"Content-Type": "application/json"},
                                    body, seconds=3)
                if answer.status != 307:
                    break
                match = re.match(r"http://([0-9.]+):(\d+)/", answer.headers.get("location", ""))
                host, port = match.group(1), int(match.group(2))
            if 200 <= answer.status < 300 or 400 <= answer.status < 500:
                sender = "heartbeat" if "/Instances." in path else "operator"
                self.record(f"{sender}: {method} {path} is answered {answer.status}")
                return answer
            await asyncio.sleep(0.1)
        raise CannotRun(f"{method} {path} is not answered")

    async def put(self, document):
        """Sends a configuration until it is acknowledged."""
        answer = await self.order("POST", "/Config.Put", document)
        self.record(f"operator: configuration {document['version']} {answer.status}")
        return answer

    async def leader(self, seconds=10):
        """Returns the control machine that answers a read of the configuration itself."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for machine in self.controls:
                answer = await call(machine.ip, self.ports["control"], "GET", "/Config.Get",
                                    seconds=1)
                if answer.status == 200:
                    return machine
            await asyncio.sleep(0.1)
        raise CannotRun("nobody leads")

    async def stop(self):
        self.isStopping = True
        for worker in self.workers:
            await worker.stop()
        for machine in self.machines():
            await machine.end()
        self._temporary.cleanup()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", whole=False, note=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.note = whole, note


async def readHead(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def readBody(reader, headers, isAnswer):
    """Returns the body and whether it is complete."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if isAnswer else b""


def requestBytes(method, path, headers=None, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Client:
    """A connection of a client to one address, kept for several requests."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port), 1)
        return self

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, method, path, headers=None, body=b"", seconds=5):
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            self.writer.write(requestBytes(method, path, {"Host": self.host, **(headers or {})},
                                           body))

            async def read():
                while True:
                    line, found = await readHead(self.reader)
                    answer.status, answer.headers = int(line.split()[1]), found
                    if answer.status >= 200:
                        break
                answer.body = await readBody(self.reader, found, True)
                answer.whole = True

            await asyncio.wait_for(read(), seconds)
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError,
                asyncio.TimeoutError) as error:
            answer.note = type(error).__name__
            self.close()
        return answer


async def call(host, port, method, path, headers=None, body=b"", seconds=5):
    client = Client(host, port)
    answer = await client.ask(method, path, headers, body, seconds)
    client.close()
    return answer


class Worker:
    """A worker that sends heartbeats and runs requests. It notes each request that it runs."""

    def __init__(self, fleet, id, service, number, zone=None, slots=12, version="v1", port=8080,
                 run=None, born=None):
        self.fleet, self.id, self.service, self.slots = fleet, id, service, slots
        self.host, self.port = fleet.address(number), port
        self.zone = zone or ZONES[number % 3]
        self.version, self.state, self.sequence = version, "ready", 0
        self.born = born or int(time.time() * 1000)
        self.run = run or plainAnswer
        self.runs = []
        self.acknowledged = asyncio.Event()
        self.heartbeats = True
        self._server = self._task = None
        self._connections = set()
        fleet.workers.append(self)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self._task = asyncio.ensure_future(self._beat())
        return self

    async def registered(self, seconds=15):
        try:
            await asyncio.wait_for(self.acknowledged.wait(), seconds)
        except asyncio.TimeoutError:
            raise CannotRun(f"{self.id} is not registered") from None

    async def heartbeat(self):
        self.sequence += 1
        document = {"service": self.service, "address": f"{self.host}:{self.port}",
                    "zone": self.zone, "version": self.version, "slots": self.slots,
                    "state": self.state, "cold_remaining_ms": 0, "stage": "both",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "sequence": self.sequence, "born": self.born}
        answer = await self.fleet.order("POST", f"/Instances.Heartbeat/{self.id}", document, 5)
        if answer.status == 200:
            self.acknowledged.set()
        return answer

    async def leave(self):
        return await self.fleet.order("POST", f"/Instances.Leave/{self.id}", {"born": self.born})

    async def _beat(self):
        while True:
            if self.heartbeats:
                with contextlib.suppress(CannotRun):
                    await self.heartbeat()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                line, headers = await readHead(reader)
                method, path, _ = line.split(" ", 2)
                body = await readBody(reader, headers, False)
                expected = headers.get("x-heathergate-expect-instance")
                if expected not in (None, self.id):
                    self.answer(writer, headers, 421, b"")
                    continue
                number = headers.get("x-heathergate-request-id", "")
                run = {"id": number, "method": method, "path": path, "headers": headers,
                       "body": body, "at": time.monotonic(), "reader": reader}
                self.runs.append(run)
                self.fleet.record(f"{self.id} runs {method} {path} id {number} tenant "
                                  f"{headers.get('x-heathergate-tenant')}")
                await self.run(self, writer, run)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass  # The peer has left, or the case ends.
        finally:
            self._connections.discard(writer)
            writer.close()

    def answer(self, writer, headers, status, body, signed=True, **fields):
        lines = [f"HTTP/1.1 {status} OK",
                 f"X-Heathergate-Request-Id: {headers.get('x-heathergate-request-id', '')}",
                 f"Content-Length: {len(body)}"]
        if signed and status != 421:
            lines.append(f"X-Heathergate-Response-Signature: {self.id}.{random.getrandbits(32):x}")
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def crash(self):
        """Ends at once: all connections are reset and no heartbeat follows."""
        self.heartbeats = False
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            with contextlib.suppress(OSError, AttributeError):
                writer.transport.abort()

    async def stop(self):
        if self._task:
            self._task.cancel()
        await self.crash()


async def plainAnswer(worker, writer, run):
    await asyncio.sleep(0.01)
    worker.answer(writer, run["headers"], 200, b"done " + run["id"].encode())


def route(name, prefix, service, kind="safe", **fields):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 200, "priority": 1, "service": service,
            "max_attempts": 1, "retained": False, "retention_s": 60.0, "public": False,
            "sticky": kind == "streaming", "resumable": kind == "streaming", **fields}


ENGINE = {"slots": 12, "kv_capacity": 178182, "kv_token_bytes": 192512, "link_mbps": 1500000.0,
          "moves": True, "backups": True, "stride": 11, "most": 12, "pin_ms": 4000.0,
          "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}


def service(name, engine=None):
    entry = {"name": name, "health_path": "/health", "max_conns": 321, "protocol": "h1",
             "tls": False}
    return {**entry, "engine": engine} if engine else entry


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


def configuration(version, routes, services, tenants=None, **limits):
    document = {"version": version, "routes": routes, "services": services,
                "limits": {**LIMITS, **limits}}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def tenant(name, keys, rate=0, burst=0, priority=1):
    return {"name": name, "api_keys": keys, "priority": priority, "rate_per_s": rate,
            "burst": burst}


def newId():
    return f"{random.getrandbits(64):016x}"


def headers(key=None, deadline=3000, id=None, **fields):
    result = {"Host": "ficu95.example", "X-Heathergate-Request-Id": id or newId(),
              "X-Heathergate-Deadline-Ms": deadline}
    if key:
        result["Api-Key"] = key
    result.update({name.replace("_", "-"): value for name, value in fields.items()})
    return result


def play(folder, case, seconds=110, **sizes):
    """Runs a case, ends all its processes, and exits with its verdict."""
    record = Record(folder)

    async def run():
        fleet = Fleet(record, **sizes)
        try:
            return await asyncio.wait_for(case(fleet), seconds)
        finally:
            await fleet.stop()

    try:
        status = asyncio.run(run())
    except CannotRun as error:
        record(f"cannot run: {error}")
        status = NOT_RUN
    except asyncio.TimeoutError:
        record("cannot run: out of time")
        status = NOT_RUN
    record(f"verdict {status}")
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "did not run"))
    sys.exit(status)
