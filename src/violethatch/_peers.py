# SPDX-License-Identifier: MIT
"""An instance among its peers: heartbeats and revisions."""

from __future__ import annotations

import asyncio
import random

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

from . import clocks, events
from ._claim_writer import WriteReply
from ._peer_wire import (
    PeerChannel,
    accept_peer,
    beats_message,
    connect_peer,
    fetch_message,
    read_beats,
    read_puts,
    read_replies,
    revision_message,
    taken_message,
    write_message,
    written_message,
)
from .errors import PeerRefusedError
from .gossip import Beat, Gossip, choose_targets
from .ports import ListedInstance, Put
from .running_time import LATE_S


_FANOUT = 2
#: How long a peer may take to authenticate, in seconds.
_HANDSHAKE_S = 2.0
#: How long a peer may take over writes; the table may be slow.
_WRITE_S = 5.0
#: What ends a connection without being a fault of this process.
_BROKEN = (OSError, TimeoutError, asyncio.IncompleteReadError, PeerRefusedError)


class Peers:
    """An instance among its peers.

    Args:
        gossip: What is known of the peers.
        key: The peers' shared secret.
        interval_s: Between rounds of heartbeats, in seconds.
        rng: Whom to talk to.
        encoded_revision: Returns the revision in force, as JSON.
        take_revision: Takes a revision that a peer offers.
        write: Does a conditional write for a peer.
        connections: The most connections of peers at one time.
    """

    def __init__(
        self,
        gossip: Gossip,
        *,
        key: str,
        interval_s: float,
        rng: random.Random,
        encoded_revision: Callable[[], bytes],
        take_revision: Callable[[bytes], Awaitable[None]],
        write: Callable[[Put], Awaitable[WriteReply]],
        connections: int,
    ) -> None:
        self.gossip = gossip
        self._encoded_revision = encoded_revision
        self._take_revision = take_revision
        self._write = write
        self._connections = connections
        self._open = 0
        self._is_leaving = False
        self._key = key.encode()
        self._interval_s = interval_s
        self._rng = rng
        self._addresses: dict[str, tuple[str, str]] = {}
        self._callers: dict[str, _PeerCaller] = {}
        # Writes wait for the table; heartbeats must not wait behind them.
        self._writers: dict[str, _PeerCaller] = {}
        self._channels: set[PeerChannel] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> int:
        """Listen for peers; return the port."""
        self._server = await asyncio.start_server(self._serve, address, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for channel in list(self._channels):
            channel.close()
        for caller in [*self._callers.values(), *self._writers.values()]:
            caller.disconnect()

    def follow(self, listed: Iterable[ListedInstance]) -> None:
        """Take the peers' addresses from the instance list."""
        own_id = self.gossip.own.instance_id
        self._addresses = {
            entry["id"]: (entry["address"], entry["availability_zone"])
            for entry in listed
            if entry["role"] == "entry" and entry["id"] != own_id
        }
        for callers in (self._callers, self._writers):
            for peer_id in set(callers) - set(self._addresses):
                callers.pop(peer_id).disconnect()

    def instance_count(self) -> int:
        """Return how many entry instances are listed, at least this one."""
        return len(self._addresses) + 1

    async def run(self, revision: Callable[[], int]) -> None:
        """Exchange heartbeats until cancelled."""
        while True:
            self.gossip.tick(revision=revision(), leaving=self._is_leaving)
            await self._round()
            for peer_id in self.gossip.expire(now_s=clocks.now_s()):
                events.log(events.PEER_LOST, peer=peer_id)
            pause_s = self._interval_s * self._rng.uniform(0.8, 1.2)
            began_s = clocks.now_s()
            await asyncio.sleep(pause_s)
            now_s = clocks.now_s()
            stood_s = now_s - began_s - pause_s
            if stood_s > LATE_S:
                self.gossip.peers.note_standstill(stood_s, now_s=now_s)

    async def announce_leaving(self) -> None:
        """Tell some peers at once that this instance leaves."""
        self._is_leaving = True
        self.gossip.tick(revision=self.gossip.own.revision, leaving=True)
        await self._round()

    async def push(self, encoded: bytes) -> None:
        """Offer a revision to all peers of the zone and one of another."""
        zone, remote = self._by_zone()
        targets = [*zone, *remote[:1]]
        offer = revision_message(encoded)
        await asyncio.gather(*(self._call(target, offer) for target in targets))

    async def fetch_revision(self) -> bytes | None:
        """Return a revision that is ahead of the own one, if a peer has it."""
        for beat in self.gossip.ahead():
            answer = await self._call(beat.instance_id, fetch_message())
            if answer is not None and answer.which() == "revision":
                return bytes(answer.revision)
        return None

    async def forward(
        self, peer_id: str, puts: Sequence[Put]
    ) -> Sequence[WriteReply] | None:
        """Have a peer do conditional writes; None if it does not answer."""
        answer = await self._call(
            peer_id, write_message(puts), callers=self._writers, timeout_s=_WRITE_S
        )
        if answer is None or answer.which() != "written":
            return None
        replies = read_replies(bytes(answer.written))
        return replies if len(replies) == len(puts) else None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a peer, if there is room for it."""
        if self._open >= self._connections:
            writer.transport.abort()
            return
        self._open += 1
        try:
            await self._serve_channel(reader, writer)
        finally:
            self._open -= 1
            writer.transport.abort()

    async def _serve_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Authenticate a peer and answer its messages."""
        channel: PeerChannel | None = None
        try:
            async with asyncio.timeout(_HANDSHAKE_S):
                channel, _ = await accept_peer(reader, writer, key=self._key)
            self._channels.add(channel)
            while True:
                message = await channel.receive()
                await channel.send(await self._answer(message))
        except PeerRefusedError as error:
            events.log(events.PEER_REFUSED, detail=error.detail)
        except _BROKEN:
            pass
        finally:
            if channel is not None:
                self._channels.discard(channel)

    async def _answer(self, message: Any) -> Any:
        """Return the answer to a peer's message."""
        kind = message.which()
        if kind == "beats":
            self._take_beats(read_beats(message.beats))
            own_zone = self.gossip.own.availability_zone
            return beats_message(self.gossip.beats_for(own_zone))
        if kind == "fetch":
            return revision_message(self._encoded_revision())
        if kind == "revision":
            await self._take_revision(bytes(message.revision))
            return taken_message()
        if kind == "write":
            puts = read_puts(bytes(message.write))
            replies = await asyncio.gather(*(self._write(put) for put in puts))
            return written_message(replies)
        msg = f"unexpected {kind}"
        raise PeerRefusedError(msg)

    async def _round(self) -> None:
        """Talk to a few peers."""
        zone, remote = self._by_zone()
        targets = choose_targets(zone, remote, fanout=_FANOUT, rng=self._rng)
        await asyncio.gather(*(self._beat(target) for target in targets))

    async def _beat(self, peer_id: str) -> None:
        """Exchange heartbeats with a peer."""
        zone = self._addresses[peer_id][1]
        message = beats_message(self.gossip.beats_for(zone))
        answer = await self._call(peer_id, message)
        if answer is not None and answer.which() == "beats":
            self._take_beats(read_beats(answer.beats))

    def _take_beats(self, beats: list[Beat]) -> None:
        """Learn from a peer's heartbeats."""
        for peer_id in self.gossip.merge(beats, now_s=clocks.now_s()):
            events.log(events.PEER_FOUND, peer=peer_id)

    def _by_zone(self) -> tuple[list[str], list[str]]:
        """Return the listed peers of the own zone and those of others."""
        own_zone = self.gossip.own.availability_zone
        zone = [key for key, (_, at) in self._addresses.items() if at == own_zone]
        remote = [key for key, (_, at) in self._addresses.items() if at != own_zone]
        return zone, remote

    async def _call(
        self,
        peer_id: str,
        message: Any,
        *,
        callers: dict[str, _PeerCaller] | None = None,
        timeout_s: float = 0.0,
    ) -> Any:
        """Call a peer; None if it does not answer."""
        listed = self._addresses.get(peer_id)
        if listed is None:
            return None
        callers = self._callers if callers is None else callers
        caller = callers.get(peer_id)
        if caller is None or caller.address != listed[0]:
            if caller is not None:
                caller.disconnect()
            caller = callers[peer_id] = _PeerCaller(
                listed[0],
                own_id=self.gossip.own.instance_id,
                key=self._key,
                timeout_s=timeout_s or max(0.5, self._interval_s),
            )
        return await caller.call(message)


class _PeerCaller:
    """Calls one peer, over a connection that is made when needed."""

    def __init__(
        self, address: str, *, own_id: str, key: bytes, timeout_s: float
    ) -> None:
        self.address = address
        self._own_id = own_id
        self._key = key
        self._timeout_s = timeout_s
        self._channel: PeerChannel | None = None
        self._lock = asyncio.Lock()

    async def call(self, message: Any) -> Any:
        """Call the peer; None if it does not answer in time."""
        async with self._lock:
            try:
                async with asyncio.timeout(self._timeout_s):
                    if self._channel is None:
                        self._channel = await connect_peer(
                            self.address, own_id=self._own_id, key=self._key
                        )
                    return await self._channel.call(message)
            except _BROKEN as error:
                if isinstance(error, PeerRefusedError):
                    events.log(events.PEER_REFUSED, detail=error.detail)
                self.disconnect()
                return None

    def disconnect(self) -> None:
        """Drop the connection; the next call makes a new one."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None
