"""A small deployment on loopback for the review's scripts: the project's programs as processes of their own,
with the start commands of deploy/system.toml, and stand-ins of clients, servers and the platform.

Every machine has a loopback address of its own; all machines use the same ports, as on the platform."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# The bounds of the site file that claim.txt names.
BOUNDS = {
    "contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "configuration_ms": 2000, "fail_closed": True,
    "revocation_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54,
    "lease_ms": 3000, "version_ms": 8000,
}
HEARTBEAT_S = 1.2


def start_commands():
    """The start command of each role, from the deploy file."""
    commands = {}
    role = None
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            line = line.strip()
            if line.startswith("[roles."):
                role = line[len("[roles."):-1]
            elif role and line.startswith("run = "):
                commands[role] = json.loads(line[len("run = "):]).split(" ")
    return commands


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


class Response:
    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    """The body of a message with a length or in chunks; (bytes, whether it is complete)."""
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    return body, True
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One request on a connection of its own; None if no whole head arrived in time."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    host, port = address.rsplit(":", 1)
    lines = ["%s %s HTTP/1.1" % (method, path)]
    fields = {"Host": address, "Connection": "close", "Content-Length": str(len(body))}
    fields.update(headers or {})
    lines += ["%s: %s" % item for item in fields.items()]
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        status_line, received = await read_head(reader)
        content, complete = await read_body(reader, received)
        return Response(int(status_line.split(" ")[1]), received, content, complete)

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Process:
    """One process of the project, which the script may kill and start again."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.child = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        if self.running():
            self.child.kill()
            self.child.wait()


class Fleet:
    """Control members and routers."""

    def __init__(self, record, members=5, routers=2):
        self.record = record
        self.work = tempfile.mkdtemp(prefix="stoat-review-")
        self.commands = start_commands()
        self.base = random.Random(os.getpid()).randrange(20, 120)
        port = 20000 + (os.getpid() * 37) % 9000
        self.ports = {name: port + offset for offset, name in
                      enumerate(["control", "directory", "front", "ready", "internal", "metrics", "server"])}
        self.members = ["127.%d.0.%d" % (self.base, number + 1) for number in range(members)]
        self.routers = ["127.%d.1.%d" % (self.base, number + 1) for number in range(routers)]
        self.processes = {}
        self.engines = {}  # model engines by address
        for number, ip in enumerate(self.members):
            self._add_member(number, ip)
        for number, ip in enumerate(self.routers):
            self._add_router(number, ip)

    def server_address(self, number):
        return "127.%d.2.%d:%d" % (self.base, number + 1, self.ports["server"])

    def control_addresses(self):
        return ["%s:%d" % (ip, self.ports["control"]) for ip in self.members]

    def front_addresses(self):
        return ["%s:%d" % (ip, self.ports["front"]) for ip in self.routers]

    def _seeds(self):
        return json.dumps(self.control_addresses()[:3])

    def _zone(self, number):
        return ["zone-a", "zone-b", "zone-c"][number % 3]

    def _common(self, name, number):
        return ['name = "%s"' % name, 'zone = "%s"' % self._zone(number), 'region = "region-a"',
                'zones = ["region-a/zone-a","region-a/zone-b","region-a/zone-c"]',
                "internal_port = %d" % self.ports["internal"], "seeds = %s" % self._seeds()]

    def _add(self, name, role, lines):
        path = os.path.join(self.work, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        command = [path if word == "/etc/stoatstack/local.json" else word for word in self.commands[role]]
        self.processes[name] = Process(name, command, os.path.join(self.work, name + ".log"))

    def member_settings(self, number, first_start):
        ip = self.members[number]
        lines = self._common("core-%d" % number, number)
        return lines + [
            'control = "%s:%d"' % (ip, self.ports["control"]),
            'directory = "%s:%d"' % (ip, self.ports["directory"]),
            'internal = "%s:%d"' % (ip, self.ports["internal"]),
            'data_folder = "%s"' % os.path.join(self.work, "data-%d" % number),
            "first_start = %s" % ("true" if first_start else "false"),
            "tolerated_losses = %d" % ((len(self.members) - 1) // 2),
            "backend_heartbeat_ms = %d" % int(HEARTBEAT_S * 1000),
            "holder_lease_ms = %d" % BOUNDS["lease_ms"], "load_share = 0.166",
            "weights_limit_ms = %d" % BOUNDS["version_ms"],
            "quota_lower_after_ms = %d" % BOUNDS["configuration_ms"],
            'metrics = "%s:%d"' % (ip, self.ports["metrics"])]

    def _add_member(self, number, ip):
        self._add("core-%d" % number, "control", self.member_settings(number, True))

    def _add_router(self, number, ip):
        lines = self._common("front-%d" % number, number)
        self._add("front-%d" % number, "router", lines + [
            'listen = "%s:%d"' % (ip, self.ports["front"]), 'ready = "%s:%d"' % (ip, self.ports["ready"]),
            'relay = "%s:%d"' % (ip, self.ports["internal"]), "fail_closed = true",
            "revocation_ms = %d" % BOUNDS["revocation_ms"], "grace_s = %d" % BOUNDS["grace_s"],
            "weights_limit_ms = %d" % BOUNDS["version_ms"], "memory_mb = 260",
            "repeat_ratio = %s" % BOUNDS["budget_ratio"], "repeat_window_s = %d" % BOUNDS["budget_window_s"],
            "repeat_slack = %d" % BOUNDS["budget_slack"],
            "quota_lower_after_ms = %d" % BOUNDS["configuration_ms"],
            "configuration_ms = %d" % BOUNDS["configuration_ms"],
            'metrics = "%s:%d"' % (ip, self.ports["metrics"])])

    def start(self):
        for process in self.processes.values():
            process.start()

    def restart_member(self, number):
        """Starts a member again after its process was killed; its disk is as it was."""
        path = os.path.join(self.work, "core-%d.toml" % number)
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.member_settings(number, False)) + "\n")
        self.processes["core-%d" % number].start()

    def stop(self):
        for process in self.processes.values():
            process.send(signal.SIGTERM)
        end = time.monotonic() + 2
        for process in self.processes.values():
            while process.running() and time.monotonic() < end:
                time.sleep(0.02)
            process.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.work, ignore_errors=True)

    async def order(self, method, path, body, limit=20.0):
        """An order of the operator: sent to one member after the other until one acknowledges it."""
        addresses = self.control_addresses()
        end = time.monotonic() + limit
        turn = 0
        while time.monotonic() < end:
            address = addresses[turn % len(addresses)]
            turn += 1
            response = await call(address, method, path, {"Content-Type": "application/json"}, body)
            if response is not None and response.status == 200:
                self.record("operator %s %s acknowledged by %s" % (method, path, address))
                return response
            await asyncio.sleep(0.1)
        return None

    async def leader(self):
        """Number of the member that leads, by its status page."""
        for number, address in enumerate(self.control_addresses()):
            response = await call(address, "GET", "/-/status")
            if response is not None and response.status == 200 and json.loads(response.body).get("leads"):
                return number
        return None

    async def wait_ready(self, limit=20.0):
        """Waits until every router says that it is ready."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answers = [await call("%s:%d" % (ip, self.ports["ready"]), "GET", "/-/readiness")
                       for ip in self.routers]
            if all(answer is not None and answer.status == 200 for answer in answers):
                return True
            await asyncio.sleep(0.1)
        return False


class Server:
    """A server of the platform: registers by heartbeats, and answers requests as PROTOCOL.md says.

    `handle(server, request, writer)` answers one request; the default answers after `work_s`."""

    def __init__(self, fleet, number, name, service, zone="zone-a", slots=16, models=None, handle=None):
        self.fleet = fleet
        self.record = fleet.record
        self.name = name
        self.address = fleet.server_address(number)
        self.service = service
        self.zone = zone
        self.slots = slots
        self.models = models or []
        self.handle = handle or answer_plainly
        self.work_s = 0.02
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beating = True
        self.runs = []  # (seconds, id of the client attempt, tenant)
        self.arrivals = []  # (seconds, id of the client attempt)
        self.server = None
        self.beats = None
        self.writers = set()

    def expects_me(self, headers):
        return headers.get("expected-instance", self.name) == self.name

    def note_run(self, attempt, headers):
        self.runs.append((self.record.now(), attempt, headers.get("tenant", "")))
        self.record("run %s at %s tenant=%s" % (attempt, self.name, headers.get("tenant", "")))

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.beats = asyncio.ensure_future(self._beat())

    def heartbeat(self, state="ready"):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}
        if self.models:
            body["stage"] = "combined"
            body["models"] = self.models
        return body

    async def _beat(self):
        addresses = self.fleet.control_addresses()
        turn = random.randrange(len(addresses))
        while True:
            if self.beating:
                for _ in addresses:
                    response = await call(addresses[turn % len(addresses)], "PUT",
                                          "/-/instances/" + self.name,
                                          {"Content-Type": "application/json"}, self.heartbeat())
                    if response is not None and response.status == 200:
                        break
                    turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body, complete = await read_body(reader, headers)
                if not complete:
                    break
                method, path, _ = line.split(" ")
                await self.handle(self, method, path, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def message(status, headers, body=b""):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def answer_common(server, path, headers, writer):
    """Answers what concerns no client request; False if the request is one of a client."""
    if path == "/health":
        writer.write(message(200, {"Instance-Identifier": server.name}))
    elif path.startswith("/-/report"):
        writer.write(message(200, {"Content-Type": "application/json"}, json.dumps(
            {"stage": "combined", "models": server.models, "busy": False, "sequence": 0, "waiting": 0,
             "running": 0, "key_value_used": 0, "key_value_total": 100000, "handles": 0,
             "born": server.born}).encode()))
    elif path.startswith("/-/kv-events"):
        await asyncio.sleep(min(1.0, int(headers.get("wait-ms", "0")) / 1000))
        writer.write(message(200, {"Content-Type": "application/json"}, json.dumps(
            {"epoch": server.born % 1000000 + 1, "next_page_token": 1, "lost": False, "events": [],
             "born": server.born}).encode()))
    elif path.startswith("/-/"):
        writer.write(message(404, {}))
    elif not server.expects_me(headers):
        writer.write(message(421, {"Attempt-Id": headers.get("attempt-id", "")}))
    else:
        return False
    return True


async def answer_plainly(server, method, path, headers, body, writer):
    if await answer_common(server, path, headers, writer):
        return
    attempt = headers.get("attempt-id", "")
    server.arrivals.append((server.record.now(), attempt))
    server.note_run(attempt, headers)
    await asyncio.sleep(server.work_s)
    writer.write(message(200, {"Attempt-Id": attempt, "Response-Signature": "s-" + attempt}, b"done"))


def run_case(main):
    """Runs `main(record)` and exits with what it returns: 1 broken, 0 held, 2 could not run."""
    folder = os.getcwd()
    record = Record(os.path.join(os.environ.get("CASE_FOLDER", folder), "record.txt"))
    try:
        result = asyncio.run(asyncio.wait_for(main(record), 110))
    except Exception as error:  # the case could not run
        record("could not run: %r" % error)
        print("could not run: %r" % error)
        result = 2
    raise SystemExit(result)
