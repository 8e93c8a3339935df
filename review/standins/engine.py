"""A stand-in of one engine: it registers by heartbeats, answers requests with streams or whole bodies, and leaves
as PROTOCOL.md says."""
import asyncio
import json
import time

from standins.deployment import ENGINE_PORT, HEARTBEAT_MS
from standins.http import CALL_ERRORS, BrokenMessage, call, read_head, read_pieces


class Engine:
    """One incarnation of an engine. `model`: None for a plain service."""

    def __init__(self, deployment, identifier, service, address, software="v1", zone="ams-a", slots=16, model=None):
        self.deployment = deployment
        self.record = deployment.record
        self.identifier = identifier
        self.service = service
        self.host = address
        self.address = f"{address}:{ENGINE_PORT}"
        self.software = software
        self.zone = zone
        self.slots = slots
        self.model = model
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.runs = []  # (time, attempt id) of each request that began to run
        self.server = None
        self.heartbeats = None
        self.heartbeat_address = None
        self.next_node = abs(hash(identifier))
        self.connections = set()

    def record_body(self):
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.software,
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}
        if self.model:
            body.update({"stage": "combined", "models": [{"name": self.model, "version": 1, "adapters": []}]})
        return body

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, ENGINE_PORT)
        self.record.note(f"engine {self.identifier} ({self.service}, software {self.software}) starts at {self.address}")
        self.heartbeats = asyncio.create_task(self.beat_forever())

    async def end(self):
        """Ends the process of the engine: nothing listens at its address any more."""
        if self.heartbeats:
            self.heartbeats.cancel()
        if self.server:
            self.server.close()
            for writer in list(self.connections):
                writer.transport.abort()
        self.record.note(f"engine {self.identifier} has ended")

    async def call_control(self, method, body=b"", tries=5):
        """Calls one control node after another until one acknowledges. Returns whether one did."""
        nodes = self.deployment.control_addresses()
        for _ in range(tries):
            address = self.heartbeat_address if method == "PUT" and self.heartbeat_address else \
                nodes[self.next_node % len(nodes)]
            try:
                answer = await call(address, method, f"/-/instances/{self.identifier}", body, timeout_s=1.0)
                if 200 <= answer.status < 300:
                    if method == "PUT" and answer.body.strip():
                        self.heartbeat_address = json.loads(answer.body).get("heartbeat_address", self.heartbeat_address)
                    return address
                result = str(answer.status)
            except CALL_ERRORS as error:
                result = repr(error)
            self.record.note(f"engine {self.identifier}: {method} to {address}: {result}")
            self.heartbeat_address = None
            self.next_node += 1
        return None

    async def beat(self):
        self.sequence += 1
        return await self.call_control("PUT", json.dumps(self.record_body()).encode())

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def drain(self):
        """Says `draining`. Returns the time of the acknowledgement, or None."""
        self.state = "draining"
        address = await self.beat()
        self.record.note(f"engine {self.identifier}: draining, acknowledged by {address}")
        return self.record.now() if address else None

    def head(self, status, reason, attempt, headers):
        lines = [f"HTTP/1.1 {status} {reason}", "Keep-Alive: timeout=15"]
        if attempt:
            lines.append(f"Attempt-Id: {attempt}")
        if self.model:
            lines.append("Weight-Versions: 1")
        if self.state == "draining":
            lines.append("Server-Leaving: 1")
        return ("\r\n".join(lines + [f"{name}: {value}" for name, value in headers.items()]) + "\r\n\r\n").encode()

    def plain(self, status, reason, attempt, body, headers=None):
        return self.head(status, reason, attempt, {"Content-Length": len(body), **(headers or {})}) + body

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                request.body = b"".join([piece async for piece in read_pieces(reader, request.headers)])
                await self.answer(request, reader, writer)
                await writer.drain()
        except (ConnectionError, BrokenMessage, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        method, target, _ = request.first_line.split(" ", 2)
        path = target.partition("?")[0]
        if path == "/health":
            ok = self.state == "ready"
            writer.write(self.plain(200 if ok else 503, "OK" if ok else "Unavailable", None, b"",
                                    {"Instance-Identifier": self.identifier}))
        elif path == "/-/report":
            body = {"stage": "combined", "models": self.record_body().get("models", []), "busy": False, "sequence": 0,
                    "waiting": 0, "running": self.running, "key_value_used": 0, "key_value_total": 100000,
                    "handles": 0, "born": self.born}
            writer.write(self.plain(200, "OK", None, json.dumps(body).encode(), {"Content-Type": "application/json"}))
        elif path == "/-/kv-events":
            await asyncio.sleep(min(1000, int(request.headers.get("wait-ms", "0"))) / 1000)
            body = {"epoch": self.born, "next_page_token": 1, "lost": False, "events": [], "born": self.born}
            writer.write(self.plain(200, "OK", None, json.dumps(body).encode(), {"Content-Type": "application/json"}))
        elif path.startswith("/-/"):
            writer.write(self.plain(400, "Bad Request", None, b""))
        else:
            await self.run(request, reader, writer)

    async def run(self, request, reader, writer):
        """Runs a request, or turns it away with Not-Executed."""
        attempt = request.headers.get("attempt-id", "")
        expected = request.headers.get("expected-instance")
        if expected is not None and expected != self.identifier:
            self.record.note(f"engine {self.identifier}: {attempt} was meant for {expected}: 421")
            writer.write(self.plain(421, "Misdirected", attempt, b"", {"Not-Executed": "1"}))
            return
        if self.running >= self.slots:
            writer.write(self.plain(503, "Unavailable", attempt, b"", {"Not-Executed": "1"}))
            return
        self.running += 1
        self.runs.append((self.record.now(), attempt))
        try:
            await self.work(request, attempt, reader, writer)
        finally:
            self.running -= 1

    async def work(self, request, attempt, reader, writer):
        """The body of a request is JSON: `pieces` events `gap_ms` apart, or one body after `work_ms`."""
        order = json.loads(request.body or b"{}")
        signature = f"{self.identifier}.{attempt}"
        if "pieces" not in order:
            await asyncio.sleep(order.get("work_ms", 10) / 1000)
            writer.write(self.plain(200, "OK", attempt, f"answer of {self.identifier}\n".encode(),
                                    {"Response-Signature": signature}))
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.record.note(f"engine {self.identifier}: stream {attempt} begins at piece {first}")
        writer.write(self.head(200, "OK", attempt, {"Response-Signature": signature,
                                                    "Content-Type": "text/event-stream",
                                                    "Transfer-Encoding": "chunked"}))
        for piece in range(first, order["pieces"] + 1):
            await asyncio.sleep(order["gap_ms"] / 1000)
            if reader.at_eof() or writer.transport.is_closing():
                self.record.note(f"engine {self.identifier}: stream {attempt} was closed before piece {piece}")
                raise ConnectionResetError
            event = f"id: {piece}\ndata: {self.software} piece {piece} of {self.identifier}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
