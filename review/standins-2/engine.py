"""A model engine of the platform, as PROTOCOL.md describes it: streams events, takes orders to load weights,
answers 421 where other weights or another engine are expected, and keeps parts of prompts under their salt."""
import asyncio
import json

import harness

LOAD_S = 0.63  # new weights take an engine 0.63 s
EVENTS = 3
EVENT_GAP_S = 0.02
MODEL = "m-1"


class Engine(harness.Server):
    def __init__(self, fleet, number, name, service, zone="zone-a", slots=64):
        super().__init__(fleet, number, name, service, zone, slots, [{"name": MODEL, "version": 1, "adapters": []}],
                         handle=answer)
        self.orders = 0
        self.fence = 0
        self.loading = None
        self.on_order = lambda engine, order: None
        self.epoch = number + 1
        self.events = []  # what kv-events tells
        self.parts = {}  # (salt, part) -> tenant and client attempt that made it
        self.uses = []  # (seconds, attempt, tenant, part, salt, tenant that made it)
        self.extra_share = 0.0  # share of the answers of which one too many arrives, late
        self.answered = 0
        self.extras = 0
        self.late_copies = {}  # by connection

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

    def send(self, writer, bytes_sent, rejection=False):
        """Writes an answer. One of so many is told again where the next answer on its connection is due."""
        writer.write(bytes_sent)
        self.answered += 1
        if rejection and self.extras + 1 <= self.extra_share * self.answered:
            self.extras += 1
            self.late_copies[writer] = bytes_sent


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
    copy = engine.late_copies.pop(writer, None)
    if copy is not None:
        engine.record("%s: one answer too many arrives where the one to %s is due" % (engine.name, attempt))
        writer.write(copy)
        await writer.drain()
        await asyncio.sleep(0.005)
    fields = {"Attempt-Id": attempt, "Weight-Versions": str(engine.version)}
    expected = headers.get("expected-version")
    if not engine.expects_me(headers) or (expected is not None and int(expected) != engine.version):
        engine.record("%s: 421 to %s, which expects weights %s" % (engine.name, attempt, expected))
        engine.send(writer, harness.message(421, fields), rejection=True)
        return
    if engine.loading is not None:
        engine.send(writer, harness.message(503, dict(fields, **{"Not-Executed": "1"})))
        return
    engine.note_run(attempt, headers)
    use_parts(engine, attempt, headers)
    fields.update({"Response-Signature": "s-" + attempt, "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"})
    engine.answered += 1
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % item for item in fields.items()) + "\r\n").encode())
    for number in range(1, EVENTS + 1):
        event = ("id: %d\ndata: token-%d\n\n" % (number, number)).encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
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
