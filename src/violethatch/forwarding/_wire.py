# SPDX-License-Identifier: MIT
"""A forwarded request and its answer, as instances send them to each other.

The answer's body is a series of frames: a byte that tells the kind, the length, and the
content.  An answer without a last frame of its kind is cut off.
"""

from __future__ import annotations

import enum
import itertools
import struct
import zlib

from collections.abc import Iterable, Iterator, Mapping
from typing import Annotated, NamedTuple

import msgspec

from .._decoding import decoded
from ..instances import InstanceEntry


#: Where instances take forwarded requests.
PATH = "/forward"
_MS_PER_S = 1000.0
_PREFIX = struct.Struct(">BI")
_SENDS = struct.Struct(">I")
#: The largest frame that is read, in bytes: several times what a write passes on.
_MAX_FRAME_BYTES = 64 * 1024 * 1024
#: The most instances that a refusal tells of: they take 5 KB.
_MAX_TOLD_LOST = 500
Ms = Annotated[float, msgspec.Meta(ge=0, le=3_600_000)]


class FrameKind(enum.IntEnum):
    """What a frame holds."""

    #: The answer's status and headers.
    HEAD = 1
    #: A part of its body.
    PART = 2
    #: Nothing: the answer is whole.
    END = 3
    #: Why the instance gives no answer of a server's.
    REFUSAL = 4
    #: The sends to servers so far, or nothing: the instance is still at work.
    ALIVE = 5


class ForwardedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A caller's request, whole, as one instance hands it to another.

    Attributes:
        key: The caller's; the receiver checks it against its own desired state.
        age_ms: For how long the sender has had it.
        left_ms: For how long the caller still waits.
        state_version: The sender's desired state: an older one may not decide.
        runs: Sends that may have run.
        sender: The instance that hands it over.
        prompt_parts: Instances before 26.7.0 don't send them.
    """

    call_id: str
    method: str
    host: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str | None
    age_ms: Ms
    left_ms: Ms
    last_event_id: int | None
    prompt_tokens: int | None
    state_version: int
    runs: int
    sender: str
    prompt_parts: tuple[str, ...] = ()

    @property
    def age_s(self) -> float:
        """For how long the sender has had it, in seconds."""
        return self.age_ms / _MS_PER_S

    @property
    def left_s(self) -> float:
        """For how long the caller still waits, in seconds."""
        return self.left_ms / _MS_PER_S


class AnswerHead(msgspec.Struct, array_like=True, frozen=True):
    """A server's answer but for its body."""

    status: int
    headers: list[tuple[str, str]]
    is_framed: bool
    #: Requests in progress at the instance that serves it.
    in_flight: int


class Refusal(msgspec.Struct, array_like=True, frozen=True):
    """An instance's own error, by its code.

    Attributes:
        lost: With lost links, the other instances without links to the call's service,
            each by its number and for how long that counts, in ms.  Instances before
            26.13.0, which don't tell when their links are back, don't tell this either.
    """

    code: int
    detail: str
    ran: str
    retry_after_s: float | None
    in_flight: int
    lost: tuple[tuple[int, int], ...] | None = None


def encoded_lost(lost: Mapping[str, float]) -> tuple[tuple[int, int], ...]:
    """Return instances without links as a refusal tells them.

    Args:
        lost: By id, for how long that counts, in seconds.
    """
    return tuple(
        (instance_number(peer_id), round(left_s * _MS_PER_S))
        for peer_id, left_s in itertools.islice(lost.items(), _MAX_TOLD_LOST)
    )


def decoded_lost(
    lost: Iterable[tuple[int, int]], peers: Iterable[InstanceEntry]
) -> dict[InstanceEntry, float]:
    """Return the instances that a refusal tells of, and how long that counts.

    Args:
        lost: By number, for how long, in ms.
        peers: All that are known.

    Returns:
        For how long, in seconds.
    """
    left_ms = dict(lost)
    if not left_ms:
        return {}
    numbers = {one: instance_number(one.id) for one in peers}
    return {
        one: left_ms[number] / _MS_PER_S
        for one, number in numbers.items()
        if number in left_ms
    }


def instance_number(instance_id: str) -> int:
    """Return the number that stands for an instance in a refusal.

    Two ids with the same number (1 in 4 billion pairs) are both left out for a while.
    """
    return zlib.crc32(instance_id.encode())


class Frame(NamedTuple):
    """A part of an answer's body."""

    kind: FrameKind
    content: bytes


def encoded(request: ForwardedRequest) -> bytes:
    """Return a request's bytes."""
    return msgspec.msgpack.encode(request)


_REQUEST_DECODER = msgspec.msgpack.Decoder(ForwardedRequest)
_HEAD_DECODER = msgspec.msgpack.Decoder(AnswerHead)
_REFUSAL_DECODER = msgspec.msgpack.Decoder(Refusal)


def decoded_request(body: bytes | bytearray) -> ForwardedRequest:
    """Return a request from its bytes.

    Raises:
        ValueError: It can't be understood.
    """
    return decoded(_REQUEST_DECODER, body)


def decoded_head(content: bytes) -> AnswerHead:
    """Return an answer's head from a frame.

    Raises:
        ValueError: It can't be understood.
    """
    return decoded(_HEAD_DECODER, content)


def decoded_refusal(content: bytes) -> Refusal:
    """Return a refusal from a frame.

    Raises:
        ValueError: It can't be understood.
    """
    return decoded(_REFUSAL_DECODER, content)


def frame(kind: FrameKind, content: bytes = b"") -> bytes:
    """Return a frame's bytes."""
    return _PREFIX.pack(kind, len(content)) + content


def message_frame(kind: FrameKind, message: AnswerHead | Refusal) -> bytes:
    """Return the bytes of a frame that holds a message."""
    return frame(kind, msgspec.msgpack.encode(message))


def alive_frame(sends: int) -> bytes:
    """Return the bytes of a frame that tells how often a call was sent."""
    return frame(FrameKind.ALIVE, _SENDS.pack(sends))


def decoded_sends(content: bytes) -> int:
    """Return the sends that a frame tells of; earlier instances tell none."""
    return _SENDS.unpack(content)[0] if len(content) == _SENDS.size else 1


class FrameSplitter:
    """Cuts the bytes of an answer's body into frames."""

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Take bytes in; return the frames that they complete.

        Raises:
            ValueError: A frame is of no known kind, or too large.
        """
        self._rest += data
        while len(self._rest) >= _PREFIX.size:
            number, length = _PREFIX.unpack_from(self._rest)
            kind = FrameKind(number)
            if length > _MAX_FRAME_BYTES:
                msg = f"a frame of {length} bytes"
                raise ValueError(msg)
            end = _PREFIX.size + length
            if len(self._rest) < end:
                return
            content = bytes(self._rest[_PREFIX.size : end])
            del self._rest[:end]
            yield Frame(kind, content)
