"""A tenant becomes isolated; another tenant's requests go on reading the KV cache that its requests made."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins.client import attempt  # noqa: E402
from standins.deployment import BOUNDS, CannotRun, Deployment, Record  # noqa: E402
from standins.engine import Engine  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 12
SHARED_PART = "5c1e07a2"


class CachingEngine(Engine):
    """Keeps the parts of the prompts that it has read, under the text of Cache-Salt, and finds them under it."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        self.kept = {}  # (salt, parts up to and with this one) -> tenant and attempt that made it
        self.uses = []  # (time, attempt, tenant, part, tenant that made it, attempt that made it)

    async def work(self, request, attempt_id, reader, writer):
        tenant = request.headers.get("tenant", "")
        salt = request.headers.get("cache-salt")
        parts = [entry.partition(":")[0] for entry in request.headers.get("prompt-prefix", "").split(",")]
        for length in range(1, len(parts) + 1):
            key = (salt, tuple(parts[:length]))
            if key in self.kept:
                maker, made_by = self.kept[key]
                self.uses.append((self.record.now(), attempt_id, tenant, parts[length - 1], maker, made_by))
                self.record.note(f"engine {self.identifier}: {attempt_id} of {tenant} uses part {parts[length - 1]} under "
                                 f"{salt}, made by {made_by} of {maker}")
            else:
                self.kept[key] = (tenant, attempt_id)
                self.record.note(f"engine {self.identifier}: {attempt_id} of {tenant} makes part {parts[length - 1]} under "
                                 f"{salt}")
        await super().work(request, attempt_id, reader, writer)


def configuration(version, isolated):
    return {
        "version": version,
        "routes": [{"name": "r-brief", "host": "bids.example", "path_prefix": "/brief/", "kind": "streaming",
                    "timeout_ms": 5000, "target_latency_ms": 800, "priority": 0, "service": "bidmodel", "attempts": 2,
                    "public": False, "sticky": True, "resumable": True, "gap_target_ms": 500}],
        "services": [{"name": "bidmodel", "health_path": "/health", "connection_limit": 300, "protocol": "h1",
                      "transport_security": False,
                      "engine": {"slots": 16, "key_value_tokens": 107924, "key_value_bytes": 163840,
                                 "link_mbps": 740000.0, "backups": True, "stride": 4, "concurrency_limit": 12,
                                 "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m0"}]}}],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "battery", "access_keys": ["key-of-the-battery"], "priority": 0, "isolated": isolated},
                    {"name": "desk", "access_keys": ["key-of-the-desk"], "priority": 0, "isolated": False}]}


async def send(deployment, record, tenant, first, count):
    async def client(number):
        headers = {"Host": "bids.example", "Authorization": f"Token key-of-the-{tenant}", "Model": "m0",
                   "Token-Usage": "1310,8", "Prompt-Prefix": f"{SHARED_PART}:1300,{0xb0000000 + first + number:x}:10"}
        outcome = await attempt(deployment.frontend(number % len(deployment.routers)), "POST", "/brief/x", headers,
                                b'{"pieces": 4, "gap_ms": 20}', 5.0)
        record.note(f"client: request {outcome.attempt_id} of {tenant}: status {outcome.status} "
                    f"{'complete' if outcome.complete else outcome.failure}")
        return outcome.status == 200 and outcome.complete
    return sum(await asyncio.gather(*[client(number) for number in range(count)]))


async def case(record):
    deployment = Deployment(record, core=5, routers=2, losses=2)
    try:
        await deployment.start_all()
        await deployment.put_configuration(configuration(3, False))
        engines = [CachingEngine(deployment, f"i-{number}", "bidmodel", f"{deployment.network}.{100 + number}", model="m0")
                   for number in (1, 2)]
        for engine in engines:
            await engine.start()
        await deployment.wait_ready()
        await asyncio.sleep(4)
        served = await send(deployment, record, "battery", 0, REQUESTS)
        if TROUBLE:
            await deployment.put_configuration(configuration(4, True))
            isolated_since = record.now() + BOUNDS["configuration_ms"] / 1000
        else:
            isolated_since = float("inf")
        await asyncio.sleep(BOUNDS["configuration_ms"] / 1000 + 1)
        served_after = await send(deployment, record, "desk", 1000, REQUESTS)
        for engine in engines:
            await engine.end()
        if served < REQUESTS or served_after < REQUESTS:
            raise CannotRun("not all requests were served")
        foreign = [use for engine in engines for use in engine.uses
                   if use[0] > isolated_since and use[2] != use[4] and "battery" in (use[2], use[4])]
        record.note(f"{len(foreign)} requests used KV cache of the isolated tenant's requests: "
                    f"WALL {'broken' if foreign else 'held'}")
        return 1 if foreign else 0
    finally:
        deployment.stop()


def main():
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    try:
        return asyncio.run(asyncio.wait_for(case(record), 100))
    except (CannotRun, asyncio.TimeoutError, TimeoutError, OSError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
