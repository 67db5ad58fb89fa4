# SPDX-License-Identifier: MIT
"""HTTP/1.1 as the users' pages speak it: a small server and a small client.

Written for the review's scripts, with nothing but the standard library.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl


HOST = "127.0.0.1"
_BLANK = b"\r\n\r\n"
_MAX_HEAD = 65_536
#: What makes a socket's close reset its connection: to linger, for no time.
_RESET = struct.pack("ii", 1, 0)


class Request(NamedTuple):
    """A request as it came; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query's fields."""
        return dict(parse_qsl(self.target.partition("?")[2], keep_blank_values=True))


class Connection:
    """One connection of a server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def answer(
        self, status: int, headers: Mapping[str, str] = {}, body: bytes = b""
    ) -> None:
        """Give a whole answer."""
        self.writer.write(
            head(status, {**headers, "Content-Length": str(len(body))}) + body
        )
        await self.writer.drain()

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Begin an answer in chunks."""
        self.writer.write(head(status, {**headers, "Transfer-Encoding": "chunked"}))
        await self.writer.drain()

    async def chunk(self, data: bytes) -> None:
        """Give a chunk; an empty one ends the answer."""
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writer.drain()

    def reset(self) -> None:
        """Break the connection off, so that its other end sees a reset."""
        transport = self.writer.transport
        if not transport.is_closing():
            made = transport.get_extra_info("socket")
            made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        transport.abort()


Handler = Callable[[Request, Connection], Awaitable[None]]


def head(status: int, headers: Mapping[str, str]) -> bytes:
    """Return an answer's head."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + _BLANK


def _headers(lines: list[bytes]) -> dict[str, str]:
    """Return headers by their names in lower case."""
    pairs = (line.decode("latin-1").partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Return the chunks of a body.

    Raises:
        EOFError: It is cut off.
    """
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.partition(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


class HttpServer:
    """Serves a handler on a loopback address, one request a connection at a time."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"{HOST}:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on a port, a free one if it is zero."""
        self._server = await asyncio.start_server(
            self._serve, HOST, port, limit=_MAX_HEAD, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End at once, as a process does: connections break, new ones are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until either side ends it."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        connection = Connection(reader, writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                await self._answer(request, connection)
                if request.headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, EOFError, asyncio.CancelledError):
            connection.reset()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: Request, connection: Connection) -> None:
        """Answer one request; one whose connection closes meanwhile is dropped.

        Raises:
            ConnectionError: The other side has closed the connection.
        """
        working = asyncio.ensure_future(self._handle(request, connection))
        closing = asyncio.ensure_future(_closed(connection.reader))
        try:
            await asyncio.wait((working, closing), return_when=asyncio.FIRST_COMPLETED)
            if not working.done():
                raise ConnectionResetError
            await working
        finally:
            working.cancel()
            closing.cancel()


async def _closed(reader: asyncio.StreamReader) -> None:
    """Return once a peer that waits for its answer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:  # noqa: ASYNC110
        await asyncio.sleep(0.01)


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    try:
        text = await reader.readuntil(_BLANK)
    except EOFError:
        return None
    first, *lines = text[: -len(_BLANK)].split(b"\r\n")
    method, target, _ = first.decode("latin-1").split(" ")
    headers = _headers(lines)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([part async for part in _chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


class Answer(NamedTuple):
    """What a client got; status 0 where there was no answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def ask(
    port: int,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    *,
    limit_s: float = 10.0,
    on_part: Callable[[bytes], None] = lambda _part: None,
) -> Answer:
    """Send a request over a connection of its own; return what came of it."""
    status, got, parts, is_whole = 0, {}, [], False
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(HOST, port, limit=_MAX_HEAD)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}"] if body else []
            writer.write("\r\n".join(lines).encode("latin-1") + _BLANK + body)
            text = await reader.readuntil(_BLANK)
            first, *rest = text[: -len(_BLANK)].split(b"\r\n")
            status, got = int(first.split(b" ")[1]), _headers(rest)
            if "chunked" in got.get("transfer-encoding", ""):
                async for part in _chunks(reader):
                    parts.append(part)
                    on_part(part)
            elif "content-length" in got:
                parts.append(await reader.readexactly(int(got["content-length"])))
                on_part(parts[-1])
            else:
                parts.append(await reader.read())
                on_part(parts[-1])
            is_whole = True
    except (TimeoutError, OSError, EOFError):
        pass
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return Answer(status, got, b"".join(parts), is_whole)
