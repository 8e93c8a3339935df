"""Starts the project's own programs as the deploy file says, each on a loopback address of its own.

A machine is one loopback address. All machines use the same ports, as on the platform. Settings are the
templates of the deploy file, filled as DEPLOY.md describes, and lie in a temporary folder.
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
import tempfile
import time
import tomllib

from standins.http import CALL_ERRORS, call

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PORTS = {"frontend": 8782, "control_plane": 8783, "directory": 8784, "ready": 8789}
INTERNAL_PORTS = [7340, 7355]
METRICS_PORT = 9464
ENGINE_PORT = 8080
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "acknowledge_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "configuration_ms": 2000,
          "downgrade_slack_ms": 250, "outer_bound_ms": 5000, "fail_closed": True, "revocation_ms": 5000,
          "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "recovery_s": 12, "transit_ms": 120,
          "retry_after_s": 10, "fencing_enforced": True, "lease_ms": 3000, "thaw_ms": 300, "version_ms": 8000,
          "version_everywhere_ms": 11000, "ttl_max_s": 5}
ZONES = ["ams-a", "ams-b", "rtm-a"]
REGION = "nl-west"
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case could not be set up."""


def lookup(scopes, path):
    """The value of a gap's path: names are tried in the innermost scope first."""
    if path == ".":
        return scopes[-1][0]
    if path == "@":
        return scopes[-1][1]
    steps = path.split(".")
    for value, _ in reversed(scopes):
        found = value
        for step in steps:
            if isinstance(found, dict) and step in found:
                found = found[step]
            elif isinstance(found, list) and step.isdigit() and int(step) < len(found):
                found = found[int(step)]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, scopes, last=True):
    """Fills the gaps of a settings template (DEPLOY.md, "Settings of a process")."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    match = section.search(template)
    if match is None:
        def gap(found):
            name = found.group(1)
            if name == ",":
                return "" if last else ","
            path, _, form = name.partition("|")
            value = lookup(scopes, path)
            return json.dumps(value) if form == "json" else as_text(value)
        return re.sub(r"\{\{([^#^/}][^}]*)\}\}", gap, template)
    kind, path, inner = match.groups()
    value = lookup(scopes, path)
    empty = value is None or value is False or value == [] or value == {}
    text = ""
    if kind == "^":
        text = fill(inner, scopes, last) if empty else ""
    elif not empty and isinstance(value, (list, dict)):
        entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        for position, (key, entry) in enumerate(entries):
            text += fill(inner, scopes + [(entry, key)], position + 1 == len(entries))
    elif not empty:
        text = fill(inner, scopes + [(value, None)], last)
    return fill(template[:match.start()], scopes, last) + text + fill(template[match.end():], scopes, last)


class Record:
    """record.txt of a case: what was sent, answered and run, with the time since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Machine:
    """One machine with one process of the system."""

    def __init__(self, name, role, address, zone):
        self.name = name
        self.role = role
        self.address = address
        self.zone = zone
        self.process = None
        self.starts = 0


class Deployment:
    """A small deployment: `core` machines with control, `frontend` machines with routers."""

    def __init__(self, record, core=5, routers=2, losses=2):
        self.record = record
        self.losses = losses
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.network = self.free_network(core, routers)
        self.core = [Machine(f"core-{i}", "control", f"{self.network}.{10 + i}", ZONES[i % len(ZONES)])
                     for i in range(core)]
        self.routers = [Machine(f"frontend-{i}", "router", f"{self.network}.{50 + i}", ZONES[i % len(ZONES)])
                        for i in range(routers)]
        for role in ("control", "router"):
            program = os.path.join(ROOT, self.deploy["roles"][role]["run"].split()[0])
            if not os.access(program, os.X_OK):
                raise CannotRun(f"{program} is missing: run the build command of deploy/system.toml first")
        self.folder = tempfile.mkdtemp(prefix="review-")

    @staticmethod
    def free_network(core, routers):
        """A loopback network on whose addresses the ports of the deployment are free."""
        for _ in range(50):
            network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            hosts = [f"{network}.{10 + i}" for i in range(core)] + [f"{network}.{50 + i}" for i in range(routers)]
            ports = list(PORTS.values()) + [INTERNAL_PORTS[0], METRICS_PORT]
            try:
                for host in hosts:
                    for port in ports:
                        with socket.socket() as probe:
                            probe.bind((host, port))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback network was found")

    def control_addresses(self):
        return [f"{machine.address}:{PORTS['control_plane']}" for machine in self.core]

    def frontend(self, index):
        return f"{self.routers[index].address}:{PORTS['frontend']}"

    def settings(self, machine):
        role = self.deploy["roles"][machine.role]
        return {
            "node_name": machine.name, "role": machine.role, "machine_class": role["on"], "serves": role["serves"],
            "ip_address": machine.address, "zone": machine.zone, "region": REGION,
            "zones": {zone: REGION for zone in ZONES},
            "listen_addresses": {name: f"{machine.address}:{port}" for name, port in PORTS.items()},
            "internal_ports": INTERNAL_PORTS, "seed_nodes": self.control_addresses()[:3],
            "first_start": machine.starts == 0, "counts_as_loss": machine.role == "control",
            "limits": {"processor_share": 0.6, "cores": 1, "memory_mb": 256, "file_descriptors": 4096,
                       "link_mbps": 1000.0, "disk_mb": 128 if machine.role == "control" else 0},
            "data_directory": os.path.join(self.folder, machine.name, "data") if machine.role == "control" else None,
            "discovery": "registration", "entry": "directory", "heartbeat_interval_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine",
                          "tenants"],
            "fault_tolerance": {"machines": self.losses, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "configuration_mode": "highest"}

    def start(self, machine):
        """Starts the machine's process with the command of the deploy file."""
        role = self.deploy["roles"][machine.role]
        folder = os.path.join(self.folder, machine.name)
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template:
            text = fill(template.read(), [(self.settings(machine), None)])
        path = os.path.join(folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = role["run"].replace("/etc/stoatstack/local.json", path).split()
        with open(os.path.join(folder, "log"), "ab") as log:
            machine.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                               env={"PATH": os.environ.get("PATH", ""),
                                                    "HOME": os.environ.get("HOME", "/"),
                                                    "STOATSTACK_CONFIG": path})
        machine.starts += 1
        self.record.note(f"started {machine.name} (process {machine.process.pid}, start {machine.starts})")

    def signal(self, machine, number):
        self.record.note(f"{signal.Signals(number).name} to {machine.name}")
        machine.process.send_signal(number)

    def kill(self, machines):
        """Kills the processes of the machines at the same moment."""
        for machine in machines:
            self.signal(machine, signal.SIGKILL)
        for machine in machines:
            machine.process.wait()

    def ended_by_themselves(self):
        return [machine.name for machine in self.core + self.routers
                if machine.process is not None and machine.process.poll() is not None]

    async def start_all(self):
        for machine in self.core + self.routers:
            self.start(machine)
        await self.wait_listening()

    async def wait_listening(self, limit_s=10.0):
        deadline = time.monotonic() + limit_s
        for address in self.control_addresses():
            while True:
                try:
                    await call(address, "GET", "/-/configuration", timeout_s=1.0)
                    break
                except CALL_ERRORS:
                    if time.monotonic() > deadline:
                        raise CannotRun(f"{address} does not listen") from None
                    await asyncio.sleep(0.05)

    async def put_configuration(self, document, limit_s=20.0):
        """Sends a configuration as the operator does: unchanged to one node after another until it is taken."""
        body = json.dumps(document).encode()
        addresses = self.control_addresses()
        deadline = time.monotonic() + limit_s
        attempt = 0
        while time.monotonic() < deadline:
            address = addresses[attempt % len(addresses)]
            attempt += 1
            try:
                answer = await call(address, "PUT", "/-/configuration", body, timeout_s=1.0)
                self.record.note(f"operator: configuration {document['version']} to {address}: {answer.status}")
                if answer.status == 200:
                    return
                if answer.status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"configuration refused: {answer.body!r}")
            except CALL_ERRORS as error:
                self.record.note(f"operator: configuration {document['version']} to {address}: {error!r}")
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was acknowledged")

    async def wait_ready(self, limit_s=20.0):
        """Waits until every router says that it is ready."""
        deadline = time.monotonic() + limit_s
        for machine in self.routers:
            while True:
                try:
                    answer = await call(f"{machine.address}:{PORTS['ready']}", "GET", "/-/readiness")
                    if answer.status == 200:
                        break
                except CALL_ERRORS:
                    pass
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    def stop(self):
        """Ends all processes and removes the folder. REVIEW_KEEP names a folder to which the logs are copied."""
        for machine in self.core + self.routers:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
