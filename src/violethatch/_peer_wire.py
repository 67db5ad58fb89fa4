# SPDX-License-Identifier: MIT
"""Connections between peers: framing, authentication, Cap'n Proto messages.

A frame is its length, an authentication code and a Cap'n Proto `Message`.
Both sides prove that they know the peers' key with fresh nonces, and derive
a session key from them.  Each later frame is authenticated under that key
with its direction and number, so a forged, repeated or reordered frame ends
the connection.

Only the codec of pycapnp is used: its streams hand uvloop buffers that are
freed before uvloop has written them.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import pathlib
import secrets

from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

import capnp
import msgspec

from ._claim_writer import WriteReply
from ._decoding import decoded
from .errors import PeerRefusedError
from .gossip import Beat
from .ports import Put


T = TypeVar("T")


_schema = capnp.load(str(pathlib.Path(__file__).with_name("peers.capnp")))

_NONCE_BYTES = 16
_CODE_BYTES = 16
_LENGTH_BYTES = 4
#: A configuration of 400 workspaces takes about 100 KB as JSON.
_FRAME_MOST_BYTES = 8 * 1024 * 1024

_CALLER = b"caller"
_CALLEE = b"callee"


class PeerChannel:
    """One authenticated connection between two peers.

    Use `accept_peer` or `connect_peer` to get one.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._send_key = b""
        self._receive_key = b""
        self._sent = 0
        self._received = 0

    async def send(self, message: Any) -> None:
        """Send a message."""
        body = message.to_bytes_packed()
        code = _code(self._send_key, self._sent, body)
        self._sent += 1
        length = len(body).to_bytes(_LENGTH_BYTES, "big")
        self._writer.write(length + code + body)
        await self._writer.drain()

    async def receive(self) -> Any:
        """Return the next message.

        Raises:
            PeerRefusedError: The frame is too large, forged or malformed.
            asyncio.IncompleteReadError: The connection ended.
        """
        length = int.from_bytes(await self._reader.readexactly(_LENGTH_BYTES), "big")
        if length > _FRAME_MOST_BYTES:
            msg = f"frame of {length} bytes"
            raise PeerRefusedError(msg)
        code = await self._reader.readexactly(_CODE_BYTES)
        body = await self._reader.readexactly(length)
        expected = _code(self._receive_key, self._received, body)
        if not hmac.compare_digest(code, expected):
            msg = "frame not authentic"
            raise PeerRefusedError(msg)
        self._received += 1
        return _decode(body)

    async def call(self, message: Any) -> Any:
        """Send a message and return its answer."""
        await self.send(message)
        return await self.receive()

    def agree(self, key: bytes, *nonces: bytes, is_caller: bool) -> None:
        """Derive the keys of the two directions."""
        caller_key = _prove(key, b"from-caller", *nonces)
        callee_key = _prove(key, b"from-callee", *nonces)
        self._sent = self._received = 0
        if is_caller:
            self._send_key, self._receive_key = caller_key, callee_key
        else:
            self._send_key, self._receive_key = callee_key, caller_key

    def close(self) -> None:
        """Drop the connection."""
        self._writer.transport.abort()


async def accept_peer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, key: bytes
) -> tuple[PeerChannel, str]:
    """Authenticate a peer that connected; return the channel and its id.

    Raises:
        PeerRefusedError: It does not know the key.
    """
    channel = PeerChannel(reader, writer)
    ours = secrets.token_bytes(_NONCE_BYTES)
    await channel.send(_schema.Message.new_message(challenge=ours))
    message = await channel.receive()
    if message.which() != "hello":
        msg = "no hello"
        raise PeerRefusedError(msg)
    who, theirs = str(message.hello.instanceId), bytes(message.hello.nonce)
    expected = _prove(key, _CALLER, who.encode(), ours, theirs)
    if not hmac.compare_digest(expected, bytes(message.hello.proof)):
        await channel.send(_schema.Message.new_message(refused=PeerRefusedError.code))
        msg = f"{who} does not know the key"
        raise PeerRefusedError(msg)
    proof = _prove(key, _CALLEE, who.encode(), ours, theirs)
    await channel.send(_schema.Message.new_message(welcome=proof))
    channel.agree(key, ours, theirs, is_caller=False)
    return channel, who


async def connect_peer(address: str, *, own_id: str, key: bytes) -> PeerChannel:
    """Connect to a peer and authenticate both ways.

    Args:
        address: Host and port.
        own_id: This instance.
        key: The peers' shared secret.

    Raises:
        PeerRefusedError: One side does not know the key.
        OSError: There is no connection.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    channel = PeerChannel(reader, writer)
    try:
        theirs = bytes((await channel.receive()).challenge)
        ours = secrets.token_bytes(_NONCE_BYTES)
        who = own_id.encode()
        message = _schema.Message.new_message()
        hello = message.init("hello")
        hello.instanceId = own_id
        hello.nonce = ours
        hello.proof = _prove(key, _CALLER, who, theirs, ours)
        answer = await channel.call(message)
        expected = _prove(key, _CALLEE, who, theirs, ours)
        if answer.which() != "welcome" or not hmac.compare_digest(
            expected, bytes(answer.welcome)
        ):
            msg = f"{address}: the key does not match"
            raise PeerRefusedError(msg)
    except BaseException:
        channel.close()
        raise
    channel.agree(key, theirs, ours, is_caller=True)
    return channel


def beats_message(beats: list[Beat]) -> Any:
    """Return a message with heartbeats."""
    message = _schema.Message.new_message()
    target = message.init("beats", len(beats))
    for item, beat in zip(target, beats, strict=True):
        item.instanceId = beat.instance_id
        item.availabilityZone = beat.availability_zone
        item.incarnation = beat.incarnation
        item.counter = beat.counter
        item.revision = beat.revision
        item.leaving = beat.leaving
    return message


def read_beats(beats: Iterable[Any]) -> list[Beat]:
    """Return the heartbeats of a message."""
    return [
        Beat(
            str(beat.instanceId),
            str(beat.availabilityZone),
            beat.incarnation,
            beat.counter,
            beat.revision,
            beat.leaving,
        )
        for beat in beats
    ]


def fetch_message() -> Any:
    """Return a message that asks for the revision in force."""
    return _schema.Message.new_message(fetch=None)


def revision_message(encoded: bytes) -> Any:
    """Return a message with a revision."""
    return _schema.Message.new_message(revision=encoded)


def taken_message() -> Any:
    """Return the answer to an offered revision."""
    return _schema.Message.new_message(taken=None)


def write_message(puts: Sequence[Put]) -> Any:
    """Return a message that asks for conditional writes."""
    return _schema.Message.new_message(write=msgspec.json.encode(list(puts)))


def read_puts(data: bytes) -> list[Put]:
    """Return the writes of a message.

    Raises:
        PeerRefusedError: They are malformed.
    """
    return _convert(data, list[Put])


def written_message(replies: Sequence[WriteReply]) -> Any:
    """Return a message with the replies to writes."""
    return _schema.Message.new_message(written=msgspec.json.encode(list(replies)))


def read_replies(data: bytes) -> list[WriteReply]:
    """Return the replies of a message.

    Raises:
        PeerRefusedError: They are malformed.
    """
    return _convert(data, list[WriteReply])


def _convert(data: bytes, kind: type[T]) -> T:
    """Decode JSON into *kind*."""
    try:
        return decoded(msgspec.json.Decoder(kind), data)
    except ValueError as error:
        raise PeerRefusedError(str(error)) from error


def _decode(body: bytes) -> Any:
    """Decode a message.

    Raises:
        PeerRefusedError: It is malformed.
    """
    try:
        # A builder's copy does not depend on the bytes that it was read from.
        return _schema.Message.from_bytes_packed(body).as_builder()
    except (capnp.KjException, ValueError) as error:
        raise PeerRefusedError(str(error)) from error


def _prove(key: bytes, role: bytes, *parts: bytes) -> bytes:
    """Return the proof of knowing *key* for these nonces, in one role.

    The role keeps a peer from being handed back its own proof.
    """
    return hmac.digest(key, b"\0".join((role, *parts)), "sha256")


def _code(key: bytes, number: int, body: bytes) -> bytes:
    """Return a frame's authentication code."""
    if not key:
        return hashlib.sha256(body).digest()[:_CODE_BYTES]
    data = number.to_bytes(8, "big") + body
    return hmac.digest(key, data, "sha256")[:_CODE_BYTES]
