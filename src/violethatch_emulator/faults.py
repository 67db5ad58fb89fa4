# SPDX-License-Identifier: MIT
"""A TCP proxy that injects faults between real processes."""

from __future__ import annotations

import asyncio
import contextlib


_CHUNK_BYTES = 65536


class FaultProxy:
    """Forwards connections to a target, with faults that can be switched.

    Attributes:
        delay_s: Added to each chunk in each direction.
        is_cut: New connections are reset.
        is_frozen: Bytes are held back in both directions until unfrozen.
        answers_to_swallow: That many answers are dropped, each followed by a
            reset: the request got through, its answer is lost.
        reset_after_bytes: Answers are reset after so many bytes, once.
    """

    def __init__(self, *, host: str = "127.0.0.1", port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        #: Those of connections that have gone silent.
        self._silenced: set[asyncio.Task[None]] = set()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.delay_s = 0.0
        self.is_cut = False
        self.answers_to_swallow = 0
        self.reset_after_bytes: int | None = None
        self.port = 0

    async def start(self) -> int:
        """Listen on a free port; return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    async def stop(self) -> None:
        """Drop everything."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Reset all connections, and new ones until `heal`."""
        self.is_cut = True
        self.drop_connections()

    def heal(self) -> None:
        """Undo all faults."""
        self.is_cut = False
        self.delay_s = 0.0
        self.answers_to_swallow = 0
        self.reset_after_bytes = None
        self._thawed.set()

    def freeze(self) -> None:
        """Hold bytes back, as a half-open connection does."""
        self._thawed.clear()

    def silence(self) -> None:
        """Let the connections that are open now pass nothing any more, for good."""
        self._silenced |= set(self._tasks)

    def drop_connections(self) -> None:
        """Reset the connections that are open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        pumps = [
            asyncio.create_task(self._pump(reader, upstream[1], answers=False)),
            asyncio.create_task(self._pump(upstream[0], writer, answers=True)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
                self._tasks.discard(pump)
                self._silenced.discard(pump)
            self._writers -= {writer, upstream[1]}
            writer.transport.abort()
            upstream[1].transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._thawed.wait()
                if asyncio.current_task() in self._silenced:
                    await asyncio.Event().wait()
                if answers and not self._lets_through(len(chunk)):
                    return
                writer.write(chunk)
                await writer.drain()

    def _lets_through(self, size: int) -> bool:
        """Tell whether an answer's chunk goes on, counting the faults down."""
        if self.answers_to_swallow > 0:
            self.answers_to_swallow -= 1
            return False
        if self.reset_after_bytes is None:
            return True
        self.reset_after_bytes -= size
        if self.reset_after_bytes > 0:
            return True
        self.reset_after_bytes = None
        return False
