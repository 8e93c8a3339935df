"""A stand-in of a client: one attempt at one router, with everything that came back."""
import asyncio
import itertools
import random

from standins.http import BrokenMessage, connect, read_head, read_pieces, request_bytes

_numbers = itertools.count(1)


def new_attempt_id():
    return f"{random.getrandbits(32):08x}{next(_numbers):08x}"


class Attempt:
    """The outcome of one attempt. `status`: None if no head came. `complete`: the answer ended as it should."""

    def __init__(self, attempt_id):
        self.attempt_id = attempt_id
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.failure = ""

    def events(self):
        """The whole events of the body as (id, data)."""
        found = []
        for block in self.body.decode("latin-1").split("\n\n")[:-1]:
            fields = dict(line.partition(": ")[::2] for line in block.split("\n") if ": " in line)
            if "id" in fields:
                found.append((int(fields["id"]), fields.get("data", "")))
        return found


async def attempt(router, method, target, headers, body, timeout_s, attempt_id=None):
    """Sends one request on a new connection and reads the answer until it ends or the time is over."""
    outcome = Attempt(attempt_id or new_attempt_id())

    async def exchange():
        reader, writer = await connect(router)
        try:
            sent = {"Attempt-Id": outcome.attempt_id, "Deadline-Milliseconds": int(timeout_s * 1000), **headers}
            writer.write(request_bytes(method, target, sent, body))
            answer = await read_head(reader)
            if answer is None:
                raise BrokenMessage("closed without an answer")
            outcome.status = answer.status
            outcome.headers = answer.headers
            async for piece in read_pieces(reader, answer.headers):
                outcome.body += piece
            outcome.complete = True
        finally:
            writer.transport.abort()

    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, BrokenMessage, asyncio.TimeoutError, TimeoutError) as error:
        outcome.failure = repr(error)
    return outcome
