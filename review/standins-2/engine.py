"""A model engine of the platform, as PROTOCOL.md describes it: streams events, takes orders to load weights,
answers 421 where other weights or another engine are expected, and keeps parts of prompts under their salt."""
import asyncio
import json
import random
import socket
import struct

import harness

LOAD_S = 0.63  # new weights take an engine 0.63 s
EVENTS = 3
EVENT_GAP_S = 0.02
MODEL = "m-1"


class Engine(harness.Server):
    def __init__(self, fleet, number, name, service, zone="zone-a", slots=64):
        super().__init__(fleet, number, name, service, zone, slots, [{"name": MODEL, "version": 1, "adapters": []}],
                         handle=answer)
        fleet.engines[self.address] = self
        self.orders = 0
        self.fence = 0
        self.loading = None
        self.on_order = lambda engine, order: None
        self.epoch = number + 1
        self.events = []  # what kv-events tells
        self.parts = {}  # (salt, part) -> tenant and client attempt that made it
        self.uses = []  # (seconds, attempt, tenant, part, salt, tenant that made it)
        self.event_count = EVENTS
        self.copies = {}  # attempt -> engine whose run it is a copy of
        self.lost_share = 0.0  # share of the runs whose answer is lost: the connection is reset, the run goes on
        self.lose_after = 10  # events
        self.draw = random.Random(number + 1)
        self.work = {}  # attempt -> [seconds when its run began, when it ended or None]
        self.continued = []  # (seconds, attempt, engine of the run before)

    @property
    def version(self):
        return self.models[0]["version"]

    async def load(self, version):
        self.loading = version
        await asyncio.sleep(LOAD_S)
        self.models[0]["version"] = version
        self.loading = None
        self.parts.clear()
        self.record("%s has weights %d" % (self.name, version))


def take_order(engine, headers, body):
    order = json.loads(body)
    if not engine.expects_me(headers):
        return 421
    if order["fencing_token"] < engine.fence:
        return 412
    engine.fence = order["fencing_token"]
    if engine.loading is not None or order.get("expected_revision", engine.orders) != engine.orders:
        return 409
    if order["version"] <= engine.version:
        return 200
    engine.orders += 1
    asyncio.ensure_future(engine.load(order["version"]))
    engine.on_order(engine, order)
    return 202


async def answer(engine, method, path, headers, body, writer):
    if path == "/-/order":
        status = take_order(engine, headers, body)
        engine.record("%s: order %s answered %d" % (engine.name, body.decode(), status))
        writer.write(harness.message(status, {}))
        return
    if path.startswith("/-/report"):
        writer.write(harness.message(200, {"Content-Type": "application/json"}, json.dumps(
            {"stage": "combined", "models": engine.models, "busy": engine.loading is not None,
             "sequence": engine.orders, "waiting": 0, "running": 0, "key_value_used": 0,
             "key_value_total": 100000, "handles": 0, "born": engine.born}).encode()))
        return
    if path.startswith("/-/kv-events"):
        since = int(path.partition("since=")[2] or "0")
        if len(engine.events) <= since:
            await asyncio.sleep(min(1.0, int(headers.get("wait-ms", "0")) / 1000))
        writer.write(harness.message(200, {"Content-Type": "application/json"}, json.dumps(
            {"epoch": engine.epoch, "next_page_token": len(engine.events), "lost": False,
             "events": engine.events[since:], "born": engine.born}).encode()))
        return
    if path.startswith("/-/") or path == "/health":
        await harness.answer_common(engine, path, headers, writer)
        return
    attempt = headers.get("attempt-id", "")
    fields = {"Attempt-Id": attempt, "Weight-Versions": str(engine.version)}
    expected = headers.get("expected-version")
    if not engine.expects_me(headers) or (expected is not None and int(expected) != engine.version):
        engine.record("%s: 421 to %s, which expects weights %s" % (engine.name, attempt, expected))
        writer.write(harness.message(421, fields))
        return
    if engine.loading is not None:
        writer.write(harness.message(503, dict(fields, **{"Not-Executed": "1"})))
        return
    first = 1
    if "kv-from" in headers:
        before = engine.copies.pop(attempt, None)
        if before is None or headers["kv-from"] != before.address + "/" + attempt:
            writer.write(harness.message(503, dict(fields, **{"Not-Executed": "1"})))
            return
        first = int(headers["last-event-id"]) + 1
        engine.continued.append((engine.record.now(), attempt, before))
        engine.record("%s goes on with %s after event %d, from its copy of the run at %s"
                      % (engine.name, attempt, first - 1, before.name))
    else:
        engine.note_run(attempt, headers)
        use_parts(engine, attempt, headers)
    backup = engine.fleet.engines.get(headers.get("key-value-backup"))
    if backup is not None:
        backup.copies[attempt] = engine
    fields.update({"Response-Signature": "s-" + attempt, "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"})
    lost = engine.draw.random() < engine.lost_share
    await stream_events(engine, attempt, fields, first, lost, writer)
    if backup is not None:
        backup.copies.pop(attempt, None)


async def stream_events(engine, attempt, fields, first, lost, writer):
    """Works on a run, and tells its events. Where its answer is lost, the connection is reset and the run goes on."""
    engine.work[attempt] = [engine.record.now(), None]
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % item for item in fields.items()) + "\r\n").encode())
    heard = True
    for number in range(first, engine.event_count + 1):
        if lost and number == first + engine.lose_after:
            engine.record("%s: the answer to %s is lost after event %d" % (engine.name, attempt, number - 1))
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            heard = False
        if heard:
            event = ("id: %d\ndata: token-%d\n\n" % (number, number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    engine.work[attempt][1] = engine.record.now()
    engine.record("%s: its run of %s has ended" % (engine.name, attempt))
    if heard:
        writer.write(b"0\r\n\r\n")


def use_parts(engine, attempt, headers):
    """Takes the parts that are kept for the same salt and model with every part before them; makes the others."""
    salt = headers.get("cache-salt", "")
    tenant = headers.get("tenant", "")
    kept = True
    for item in filter(None, headers.get("prompt-prefix", "").split(",")):
        part, tokens = item.split(":")
        maker = engine.parts.get((salt, part)) if kept else None
        kept = maker is not None
        if kept:
            engine.uses.append((engine.record.now(), attempt, tenant, part, salt) + maker)
            engine.record("%s: %s of %s runs on part %s (salt %s), made by %s of %s"
                          % (engine.name, attempt, tenant, part, salt, maker[1], maker[0]))
        else:
            engine.parts[(salt, part)] = (tenant, attempt)
            engine.events.append([len(engine.events) + 1, "+", salt, part, int(tokens), MODEL])
