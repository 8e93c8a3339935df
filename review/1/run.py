"""Streams that began at the old software version of a service and are taken up after all processes of the system
were killed, while the last engine of that version was leaving."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins.client import attempt, new_attempt_id  # noqa: E402
from standins.deployment import ZONES, CannotRun, Deployment, Record  # noqa: E402
from standins.engine import Engine  # noqa: E402

STREAMS = 24
PIECES = 36
GAP_MS = 250
DEADLINE_S = 15.0
DRAIN_S = 2.0  # drain_ms of the deployment
LINGER_S = 0.3  # "a little longer"
DOWN_S = 0.77  # the longest of `closing = { kind = "kill_all" }` in the site file
RETRIES = 5  # "a few times"
FIRST_BACKOFF_S = 0.4
ALLOWED_STREAMS = 2  # "more than two streams" break the rule
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONFIGURATION = {
    "version": 3,
    "routes": [{"name": "r-audit", "host": "audit.example", "path_prefix": "/audit/", "kind": "streaming",
                "timeout_ms": 15000, "target_latency_ms": 800, "priority": 0, "service": "notes", "attempts": 2,
                "public": False, "sticky": True, "resumable": True, "gap_target_ms": 500}],
    "services": [{"name": "notes", "health_path": "/health", "connection_limit": 300, "protocol": "h1",
                  "transport_security": False,
                  "engine": {"slots": 16, "key_value_tokens": 107924, "key_value_bytes": 163840,
                             "link_mbps": 740000.0, "backups": True, "stride": 4, "concurrency_limit": 12,
                             "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m0"}]}}],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "hall", "access_keys": ["key-of-the-hall"], "priority": 0, "isolated": False}]}


class Stream:
    """One stream of a client: its events over all attempts."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.record = deployment.record
        self.number = number
        self.first_id = new_attempt_id()
        self.events = []
        self.complete = False
        self.begun = time.monotonic()

    def versions(self):
        return sorted({data.split(" ")[0] for _, data in self.events})

    async def run(self):
        body = f'{{"pieces": {PIECES}, "gap_ms": {GAP_MS}}}'.encode()
        backoff = FIRST_BACKOFF_S
        for number in range(RETRIES + 1):
            left = DEADLINE_S - (time.monotonic() - self.begun)
            if left < 0.5:
                break
            headers = {"Host": "audit.example", "Authorization": "Token key-of-the-hall", "Model": "m0",
                       "Token-Usage": "810,72", "Prompt-Prefix": f"{0x5c1e0700 + self.number:x}:800,{0xa0000000 + self.number:x}:10"}
            if self.events:
                headers["Last-Event-Id"] = str(self.events[-1][0])
                headers["Resumes"] = self.first_id
            attempt_id = self.first_id if number == 0 else new_attempt_id()
            router = self.deployment.frontend(random.randrange(len(self.deployment.routers)))
            self.record.note(f"client: stream {self.number} attempt {attempt_id} to {router}, "
                             f"Last-Event-Id {headers.get('Last-Event-Id', '-')}")
            outcome = await attempt(router, "POST", "/audit/check", headers, body, left, attempt_id)
            got = outcome.events() if outcome.status == 200 else []
            self.events += got
            self.record.note(f"client: stream {self.number} attempt {attempt_id}: status {outcome.status} "
                             f"{outcome.headers.get('response-signature', '')} events "
                             f"{got[0][0] if got else '-'}..{got[-1][0] if got else '-'} "
                             f"{'complete' if outcome.complete else outcome.failure}")
            if outcome.status == 200 and outcome.complete:
                self.complete = True
                return
            wait = float(outcome.headers.get("retry-after", 0)) if outcome.status == 503 else 0
            await asyncio.sleep(max(min(wait, left / 3), backoff))
            backoff *= 1.6


async def leave(engine):
    """The old engine's planned end: draining, then serving for a while, then its end."""
    acknowledged = await engine.drain()
    if acknowledged is None:
        raise CannotRun("draining was not acknowledged")
    while engine.record.now() < acknowledged + DRAIN_S + LINGER_S or engine.running > 0:
        await asyncio.sleep(0.02)
    engine.heartbeats.cancel()
    await engine.call_control("DELETE", tries=3)
    await engine.end()


async def case(record):
    deployment = Deployment(record, core=5, routers=2, losses=2)
    try:
        await deployment.start_all()
        await deployment.put_configuration(CONFIGURATION)
        # A rolling upgrade whose last step is still to come: one engine of three has the old software.
        old = Engine(deployment, "i-old", "notes", f"{deployment.network}.100", software="v1", model="m0")
        upgraded = [Engine(deployment, f"i-new-{number}", "notes", f"{deployment.network}.{100 + number}",
                           software="v2", zone=ZONES[number], model="m0") for number in (1, 2)]
        for engine in [old] + upgraded:
            await engine.start()
        await deployment.wait_ready()
        await asyncio.sleep(4)  # contact_ms, and the first heartbeats
        streams = [Stream(deployment, number) for number in range(STREAMS)]
        clients = [asyncio.create_task(stream.run()) for stream in streams]
        await asyncio.sleep(0.5)
        upgraded.append(Engine(deployment, "i-new-3", "notes", f"{deployment.network}.103", software="v2", model="m0"))
        await upgraded[-1].start()
        await asyncio.sleep(1.5)
        leaving = asyncio.create_task(leave(old))
        await asyncio.sleep(1.5)
        await deployment.put_configuration({**CONFIGURATION, "version": 4})
        if TROUBLE:
            record.note("final fault, right after the acknowledgement: all processes are killed")
            deployment.kill(deployment.core + deployment.routers)
            await asyncio.sleep(DOWN_S)
            for machine in deployment.core + deployment.routers:
                deployment.start(machine)
        await asyncio.gather(*clients)
        await leaving
        if deployment.ended_by_themselves():
            record.note(f"ended by themselves: {deployment.ended_by_themselves()}")
        for engine in upgraded:
            await engine.end()
        return judge(record, streams)
    finally:
        deployment.stop()


def judge(record, streams):
    mixed = 0
    for stream in streams:
        record.note(f"stream {stream.number}: {len(stream.events)} of {PIECES} events, software "
                    f"{'+'.join(stream.versions()) or 'none'}, {'complete' if stream.complete else 'not complete'}")
        mixed += len(stream.versions()) > 1
    begun = sum("v1" in stream.versions() for stream in streams)
    record.note(f"{begun} streams began at the engine with the old software")
    if begun <= ALLOWED_STREAMS:
        raise CannotRun("too few streams began at the engine with the old software")
    broken = mixed > ALLOWED_STREAMS
    record.note(f"{mixed} streams hold events from two software versions; more than {ALLOWED_STREAMS} break ORDER: "
                f"{'broken' if broken else 'held'}")
    return 1 if broken else 0


def main():
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    try:
        return asyncio.run(asyncio.wait_for(case(record), 100))
    except Exception as error:  # anything else than a judgement means that the case could not run
        record.note(f"the case could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
