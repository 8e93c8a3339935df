"""DRAIN: a server leaves, says so with DELETE to a member that has just started again, and gets requests on."""
import asyncio
import itertools
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = harness.BOUNDS["drain_ms"] / 1000
CONTACT_S = harness.BOUNDS["contact_ms"] / 1000
DOWN_S = 0.8  # the pages: all processes of the core are back within a second
LINGER_S = 1.6  # the leaving server serves this much longer than it has to
MARGIN_S = 0.05
WORK_S = 0.15  # within the site's work_ms (mean 60, up to 450)
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-1", "host": "a.example", "path_prefix": "/app/", "kind": "unsafe", "timeout_ms": 2000,
                "target_latency_ms": 300, "priority": 0, "service": "app", "attempts": 1, "public": True,
                "sticky": False, "resumable": False}],
    "services": [{"name": "app", "health_path": "/health", "connection_limit": 100, "protocol": "h1",
                  "transport_security": False}],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": []}


async def leave(fleet, server):
    """The server says DELETE to one member after the other until one acknowledges it; when, and by whom."""
    addresses = fleet.control_addresses()
    for turn in itertools.count():
        address = addresses[turn % len(addresses)]
        response = await harness.call(address, "DELETE", "/-/instances/" + server.name)
        if response is not None and response.status == 200:
            fleet.record("server %s: DELETE acknowledged by %s" % (server.name, address))
            return fleet.record.now()
        await asyncio.sleep(0.02)
        if turn > 400:
            return None


async def run(record, fleet):
    fleet.start()
    servers = [harness.Server(fleet, number, "i-%d" % number, "app", "zone-" + "abc"[number])
               for number in range(3)]
    for server in servers:
        server.work_s = WORK_S
        await server.start()
    if await fleet.order("PUT", "/-/configuration", CONFIGURATION) is None or not await fleet.wait_ready():
        return 2
    sent = {}
    answers = {}
    stopping = False
    numbers = itertools.count(1)

    async def client(number):
        address = fleet.front_addresses()[number % 2]
        while not stopping:
            attempt = "%016x" % next(numbers)
            sent[attempt] = record.now()
            record("client %s to %s" % (attempt, address))
            response = await harness.call(address, "POST", "/app/x", {
                "Host": "a.example", "Attempt-Id": attempt, "Deadline-Milliseconds": "4000"}, b"x", 4.5)
            answers[attempt] = response.status if response is not None else None
            record("answer %s %s" % (attempt, answers[attempt]))
            await asyncio.sleep(random.uniform(0.05, 0.15))

    clients = [asyncio.ensure_future(client(number)) for number in range(18)]
    await asyncio.sleep(5)
    leaving = servers[0]
    leaving.beating = False
    members = [fleet.processes[name] for name in fleet.processes if name.startswith("core-")]
    if TROUBLE:
        record("all core processes are killed")
        for member in members:
            member.kill()
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        record("all core processes start again")
        for number in range(len(members)):
            fleet.restart_member(number)
    stable_at = record.now() + CONTACT_S
    acknowledged = await leave(fleet, leaving)
    if acknowledged is None:
        return 2
    await asyncio.sleep(DRAIN_S + LINGER_S - 0.001)
    await leaving.stop()
    record("server %s has ended" % leaving.name)
    await asyncio.sleep(1.5)
    stopping = True
    await asyncio.gather(*clients)
    for server in servers[1:]:
        await server.stop()
    late = [attempt for at, attempt in leaving.arrivals
            if at > acknowledged + DRAIN_S + MARGIN_S and sent[attempt] > stable_at + MARGIN_S]
    lost = [attempt for attempt in late if answers[attempt] != 200]
    record("requests judged: %d at the leaving server later than drain_ms after its acknowledgement, sent "
           "when all machines were in touch; %d of them got no 200" % (len(late), len(lost)))
    print("late at the leaving server: %d, of these without a 200: %d; requests in all: %d, without a 200: %d"
          % (len(late), len(lost), len(answers), sum(1 for status in answers.values() if status != 200)))
    return 1 if late else 0


async def main(record):
    fleet = harness.Fleet(record, members=5, routers=2)
    try:
        return await run(record, fleet)
    finally:
        fleet.stop()


harness.run_case(main)
