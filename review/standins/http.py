"""A small HTTP/1.1 client and the message reader that all stand-ins share."""
import asyncio
import socket


class BrokenMessage(Exception):
    """The peer closed or reset the connection inside a message, or sent what is no message."""


class Message:
    """One HTTP message: its first line, its headers by lower-case name, and its body."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first_line.split(" ", 2)[1])


async def read_head(reader):
    """Reads a first line and headers. Returns None if the peer closed the connection before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenMessage("the head is incomplete") from error
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise BrokenMessage(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return Message(lines[0], headers)


async def read_pieces(reader, headers):
    """Yields the pieces of a body that has a length or comes in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield piece[:-2]
        else:
            left = int(headers.get("content-length", "0"))
            while left > 0:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    raise BrokenMessage("the body is incomplete")
                left -= len(piece)
                yield piece
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise BrokenMessage(f"the body is incomplete: {error!r}") from error


async def connect(address, timeout_s=1.0):
    """Opens a connection to IP:PORT without delaying small packets."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout_s)
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return reader, writer


def request_bytes(method, target, headers, body):
    """The bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, body=b"", headers=None, timeout_s=1.0):
    """Makes one call on a new connection. Returns the answer; raises OSError, TimeoutError or BrokenMessage."""

    async def exchange():
        reader, writer = await connect(address, timeout_s)
        try:
            sent = {"Host": address, "Content-Type": "application/json", "Connection": "close", **(headers or {})}
            writer.write(request_bytes(method, target, sent, body))
            answer = await read_head(reader)
            if answer is None:
                raise BrokenMessage("no answer")
            answer.body = b"".join([piece async for piece in read_pieces(reader, answer.headers)])
            return answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


CALL_ERRORS = (OSError, asyncio.TimeoutError, TimeoutError, BrokenMessage)
