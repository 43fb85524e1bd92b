"""Case 6: all processes of the core are killed and are back within a second; the operator reads."""
import json
import multiprocessing
import os
import random
import signal
import string
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet2

ROUNDS_UNTIL_S = float(os.environ.get("ROUNDS_UNTIL_S", "98"))
READERS = 8  # "Up to eight orders may be in progress at once."
TENANTS = 300
# Callers back off after a failure, each time for longer.
FIRST_DELAY_S = 0.0005
MAX_DELAY_S = 0.002
APPLY_S = fleet2.BOUNDS["config_apply_ms"] / 1000


def key():
    return "".join(random.choices(string.ascii_lowercase + string.digits, k=20))


def configuration(version, keys):
    route = {"name": "r-1", "host": "ficu95.example", "path_prefix": "/pule252/", "kind": "safe",
             "timeout_ms": 1200, "target_latency_ms": 80, "priority": 0, "service": "wuno96b",
             "max_attempts": 1, "retained": False, "retention_s": 60.0, "public": False}
    return json.dumps({
        "version": version, "routes": [route],
        "services": [{"name": "wuno96b", "health_path": "/health", "max_conns": 244,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": f"tenant{i}", "api_keys": keys[2 * i:2 * i + 2], "priority": 1,
                     "rate_per_s": 200, "burst": 200} for i in range(TENANTS)]})


def read(number, addresses, ends, results):
    """Reads the configuration again and again, at any daemon, one call at a time."""
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    seen, at, case_process = [], number, os.getppid()
    delay = FIRST_DELAY_S
    while not ends.is_set() and os.getppid() == case_process:
        address = addresses[at % len(addresses)]
        sent = time.monotonic()
        status, headers, body = fleet2.call(address, "GET", "/Config.Get")
        if status == 307:
            host, port = headers["Location"].split("/")[2].split(":")
            address = (host, int(port))
            sent = time.monotonic()
            status, headers, body = fleet2.call(address, "GET", "/Config.Get")
        if status == 200:
            seen.append((sent, time.monotonic(), address[0], json.loads(body)["version"]))
            delay = FIRST_DELAY_S
            continue
        at += 1
        time.sleep(delay)
        delay = min(2 * delay, MAX_DELAY_S)
    results.put(seen)


def case(record, trouble):
    fleet = fleet2.Fleet(controls=3, tolerance=1)
    breaks = []
    begun = time.monotonic()
    try:
        fleet.start()
        keys = [key() for _ in range(2 * TENANTS)]
        version = 0
        acked_at = 0.0
        # Key rotations, hundreds of them; the stores write a snapshot every 4 MiB of changes.
        while version < 3 * 300:
            version += 3
            keys = [key() for _ in range(2 * TENANTS)]
            status, _ = fleet2.order(fleet, "POST", "/Config.Put", configuration(version, keys))
            if status != 200:
                raise fleet2.CannotRun(f"version {version} was answered {status}")
            acked_at = time.monotonic()
        record(f"acknowledged version {version}")
        rounds = 0
        while time.monotonic() - begun < ROUNDS_UNTIL_S:
            time.sleep(max(0.0, acked_at + APPLY_S + 0.1 - time.monotonic()))
            ends, results = multiprocessing.Event(), multiprocessing.Queue()
            readers = [multiprocessing.Process(
                target=read, args=(i, fleet.control_addresses(), ends, results), daemon=True)
                for i in range(READERS)]
            for reader in readers:
                reader.start()
            time.sleep(0.1)
            if trouble:
                for machine in fleet.controls:
                    machine.kill()
                for machine in fleet.controls:
                    machine.wait()
                record("killed all processes of the core")
                time.sleep(0.2)
                for machine in fleet.controls:
                    machine.start()
                record("started them again")
            time.sleep(1.1)
            ends.set()
            answers = [answer for _ in readers for answer in results.get(timeout=10)]
            for reader in readers:
                reader.join()
            rounds += 1
            old = sorted(answer for answer in answers if answer[3] < version)
            record(f"round {rounds}: {len(answers)} answers with a configuration, "
                   f"{len(old)} of them older than {version}")
            for sent, received, address, seen in old:
                text = (f"round {rounds}: {address} answered a read with version {seen}; it was "
                        f"sent {sent - acked_at:.3f} s after version {version} was acknowledged")
                record(text)
                breaks.append(text)
        return breaks
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(fleet2.run_case(case))
