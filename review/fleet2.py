"""Starts the processes of the deploy file on loopback addresses, for the cases 6 to 10.

Every machine has a loopback address of its own, so that the ports of the templates are free on it.
The settings are the templates that the deploy file names, filled in as DEPLOY.md says.
"""
import http.client
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
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8,
          "config_apply_ms": 2000, "quota_window_s": 5, "ttl_max_s": 5}


class CannotRun(Exception):
    """The case couldn't run."""


def read_roles():
    """Returns the roles of the deploy file with their commands and templates."""
    roles, name = {}, None
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            section = re.match(r"\[roles\.(.+)\]", line)
            if section:
                name = section.group(1)
                roles[name] = {}
            entry = re.match(r'(run|template|on) = "(.*)"', line)
            if entry and name:
                roles[name][entry.group(1)] = entry.group(2)
    return roles


def fill(template, fields):
    """Fills in a template of the deploy file."""
    def value(match):
        at, as_json = fields, match.group(2) is not None
        for part in match.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at.get(part)
            if at is None:
                break
        if as_json:
            return json.dumps(at)
        if isinstance(at, bool):
            return "true" if at else "false"
        return "" if at is None else str(at)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value, template)


class Machine:
    def __init__(self, fleet, role, number, zone):
        self.fleet, self.role, self.zone = fleet, role, zone
        self.name = f"{role}-{number}"
        self.ip = f"{fleet.prefix}.{number + (0 if role == 'control' else 100)}"
        self.process = None
        self.starts = 0
        self.log = open(os.path.join(fleet.folder, self.name + ".log"), "ab")

    def settings(self, bootstrap):
        fleet = self.fleet
        is_control = self.role == "control"
        listen = ({"control": f"{self.ip}:{fleet.ports['control']}",
                   "directory": f"{self.ip}:{fleet.ports['directory']}"} if is_control else
                  {"front": f"{self.ip}:{fleet.ports['front']}",
                   "ready": f"{self.ip}:{fleet.ports['ready']}"})
        return {"node_name": self.name, "ip": self.ip, "zone": self.zone, "listen": listen,
                "port_range": [fleet.ports["peer"], fleet.ports["peer"] + 15],
                "seeds": fleet.seeds, "bootstrap": bootstrap,
                "fault_tolerance": {"machines": fleet.tolerance, "zones": 0, "regions": 0},
                "data_dir": os.path.join(fleet.folder, "data-" + self.name) if is_control else None,
                "bounds": BOUNDS}

    def start(self):
        role = self.fleet.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), self.settings(self.starts == 0 and self.fleet.is_first_start))
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.starts += 1
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder,
                       "HEATHERGATE_CONFIG": path}
        self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()

    def wait(self):
        self.process.wait()


class Fleet:
    def __init__(self, controls=3, gateways=0, tolerance=1):
        binary = os.path.join(ROOT, "target", "heathergate")
        if not os.access(binary, os.X_OK):
            raise CannotRun("target/heathergate is missing")
        self.roles = read_roles()
        self.folder = tempfile.mkdtemp(prefix="heathergate-case-")
        self.prefix = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}"
        self.ports = self.free_ports()
        self.tolerance = tolerance
        self.is_first_start = True
        zones = ["prairie-a", "prairie-b", "prairie-c"]
        self.seeds = [f"{self.prefix}.{i + 1}:{self.ports['control']}" for i in range(3)]
        self.controls = [Machine(self, "control", i + 1, zones[i % 3]) for i in range(controls)]
        self.gateways = [Machine(self, "gateway", i + 1, zones[i % 3]) for i in range(gateways)]

    def free_ports(self):
        names = ["control", "directory", "front", "ready", "peer"]
        for _ in range(20):
            base = random.randint(20000, 30000)
            ports = {name: base + 20 * i for i, name in enumerate(names)}
            try:
                for port in ports.values():
                    with socket.socket() as probe:
                        probe.bind((self.prefix + ".1", port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def start(self):
        for machine in self.controls + self.gateways:
            machine.start()
        self.is_first_start = False

    def control_addresses(self):
        return [(m.ip, self.ports["control"]) for m in self.controls]

    def stop(self):
        for machine in self.controls + self.gateways:
            if machine.process and machine.process.poll() is None:
                machine.send(signal.SIGCONT)
                machine.kill()
        for machine in self.controls + self.gateways:
            if machine.process:
                machine.wait()
            machine.log.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


def call(address, method, path, body=None, timeout=1.0):
    """One call at one daemon. Returns status, headers and body; status 0 without an answer."""
    try:
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body=body, headers=headers)
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""


def order(fleet, method, path, body=None, within=15.0):
    """A call of the operator: follows a 307 twice, moves on after a failure. Returns the answer."""
    deadline, delay = time.monotonic() + within, 0.05
    addresses = fleet.control_addresses()
    at = random.randrange(len(addresses))
    while time.monotonic() < deadline:
        address, hops = addresses[at % len(addresses)], 0
        while True:
            status, headers, answer = call(address, method, path, body)
            if status != 307 or hops == 2:
                break
            hops += 1
            host, port = headers["Location"].split("/")[2].split(":")
            address = (host, int(port))
        if status and status < 500 and status not in (307, 408, 429):
            return status, answer
        at += 1
        time.sleep(delay)
        delay = min(2 * delay, 0.5)
    return 0, b""


def run_case(case):
    """Runs a case. `case(record, trouble)` returns the breaks of the rule that it saw."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends all that the case started.
    path = os.path.join(folder, "record.txt")
    begun = time.monotonic()
    with open(path, "w", encoding="utf-8") as file:
        def record(text):
            file.write(f"{time.monotonic() - begun:9.4f} {text}\n")
            file.flush()
        try:
            breaks = case(record, trouble)
        except CannotRun as error:
            record(f"could not run: {error}")
            print("could not run:", error)
            return 2
        record(f"trouble={int(trouble)} breaks={len(breaks)}")
    for text in breaks[:5]:
        print(text)
    print(f"trouble={int(trouble)} breaks={len(breaks)}")
    return 1 if breaks else 0
