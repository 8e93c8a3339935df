"""Fault: a heartbeat with a field of another type ends the process of each control member that gets it."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import harness  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NESTED_LISTS = 200000 if TROUBLE else 2  # "models" holds lists in lists in place of objects
RESTART_S = 0.5  # a process that ends starts again after a short delay
BEATS = 6
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-1", "host": "a.example", "path_prefix": "/app/", "kind": "safe", "timeout_ms": 2000,
                "target_latency_ms": 300, "priority": 0, "service": "app", "attempts": 2, "public": False,
                "sticky": False, "resumable": False}],
    "services": [{"name": "app", "health_path": "/health", "connection_limit": 100, "protocol": "h1",
                  "transport_security": False}],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "t-1", "access_keys": ["key-1"], "priority": 0, "isolated": False}]}


def other_writers_heartbeat(sequence):
    nested = "[" * NESTED_LISTS + "]" * NESTED_LISTS
    return ('{"service":"other","address":"127.0.0.1:9","zone":"zone-a","version":"v1","slots":4,'
            '"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":1,"models":%s}'
            % (sequence, nested)).encode()


async def run(record, fleet):
    fleet.start()
    server = harness.Server(fleet, 0, "i-0", "app")
    await server.start()
    if await fleet.order("PUT", "/-/configuration", CONFIGURATION) is None or not await fleet.wait_ready():
        return 2
    await asyncio.sleep(1)  # the routers get to know the server
    members = {name: process for name, process in fleet.processes.items() if name.startswith("core-")}
    ended = []
    answers = []
    stopping = False

    async def platform():
        """Starts a process again that has ended by itself."""
        while not stopping:
            for number, (name, process) in enumerate(members.items()):
                if not process.running():
                    ended.append(name)
                    record("%s has ended by itself, exit status %s" % (name, process.child.returncode))
                    await asyncio.sleep(RESTART_S)
                    fleet.restart_member(number)
            await asyncio.sleep(0.05)

    async def client(number):
        count = 0
        while not stopping:
            count += 1
            attempt = "%d-%06x" % (number, count)
            response = await harness.call(fleet.front_addresses()[number % 2], "GET", "/app/x", {
                "Host": "a.example", "Attempt-Id": attempt, "Deadline-Milliseconds": "2000",
                "Authorization": "Token key-1"}, b"", 2.5)
            answers.append(response.status if response is not None else None)
            record("client %s: %s" % (attempt, answers[-1]))
            await asyncio.sleep(0.2)

    others = [asyncio.ensure_future(platform())] + [asyncio.ensure_future(client(n)) for n in range(4)]
    await asyncio.sleep(3)
    addresses = fleet.control_addresses()
    for beat in range(1, BEATS + 1):
        for address in addresses:  # goes on to the next member while none acknowledges it within a second
            response = await harness.call(address, "PUT", "/-/instances/i-other",
                                          {"Content-Type": "application/json"}, other_writers_heartbeat(beat))
            status = response.status if response is not None else None
            record("other writer: heartbeat %d to %s answered %s" % (beat, address, status))
            if status is not None and status < 500:
                break
        await asyncio.sleep(harness.HEARTBEAT_S)
    await asyncio.sleep(2)
    stopping = True
    await asyncio.gather(*others)
    await server.stop()
    print("control processes that ended by themselves: %d times, %d of %d members; client requests %d, "
          "without a 200: %d" % (len(ended), len(set(ended)), len(members), len(answers),
                                 sum(1 for status in answers if status != 200)))
    # The rule: three times in the day, on half of the core.
    broken = len(ended) >= 3 and 2 * len(set(ended)) >= len(members)
    record("broken" if broken else "held")
    return 1 if broken else 0


async def main(record):
    fleet = harness.Fleet(record, members=5, routers=2)
    try:
        return await run(record, fleet)
    finally:
        fleet.stop()


harness.run_case(main)
