# SPDX-License-Identifier: MIT
"""Messages between an entry instance and a model engine.

They travel as binary WebSocket frames.  A frame is a MessagePack array of a
kind and a body; the tuples below are encoded as arrays, so that a step costs
no field names on the wire.  Steps to one engine share a frame.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum

from typing import NamedTuple, TypeVar

import msgspec

from .layers import LayerRange


class FrameKind(enum.IntEnum):
    """What a frame's body is."""

    STEPS = 1  # list[Step]
    CANCEL = 2  # list[Cancel]
    ORDER = 3  # Order
    EXPORT = 4  # Export
    IMPORT = 5  # Cache
    HELLO = 10  # Hello
    RESULTS = 11  # list[Result]
    LOAD = 12  # Load
    ORDERED = 13  # Ordered
    CACHED = 14  # CacheReport
    EXPORTED = 15  # Cache
    IMPORTED = 16  # Imported


class PayloadKind(enum.IntEnum):
    """What a step's payload is."""

    TOKENS = 1  # MessagePack array: prompt text, tokens generated so far
    HIDDEN = 2  # hidden states, one after the other, of every position


class Refusal(enum.IntEnum):
    """Why an engine did not run a step."""

    NONE = 0
    LEAVING = 1
    STALE_EPOCH = 2
    OUT_OF_ORDER = 3
    OVERLOADED = 4
    WRONG_LAYERS = 5


class Step(NamedTuple):
    """Run one stage for some positions of a request.

    Attributes:
        request: Identifies the request.
        epoch: The attempt's epoch; engines refuse lower ones than they know.
        position: The first position to run.  Zero starts anew.
        positions: How many of them; zero if the engine has to count tokens.
        priority: Higher runs first.
        kind: What the payload is (a `PayloadKind`).
        payload: The input.
    """

    request: str
    epoch: int
    position: int
    positions: int
    priority: int
    kind: int
    payload: bytes


class Result(NamedTuple):
    """What became of a step.

    Attributes:
        request: The step's request.
        epoch: The step's epoch.
        position: The step's first position.
        positions: How many of them were run.
        refusal: Why nothing was run (a `Refusal`), zero if it was.
        payload: Hidden states, or the UTF-8 text of the last stage's token.
        token: The last stage's token, -1 from other stages.
        end: Whether the token ends the answer.
    """

    request: str
    epoch: int
    position: int
    positions: int
    refusal: int
    payload: bytes
    token: int
    end: bool


class Cancel(NamedTuple):
    """Forget a request, up to an epoch."""

    request: str
    epoch: int


class Hello(NamedTuple):
    """What an engine says of itself when a connection opens."""

    runner_id: str
    model: str
    version: str
    layers: LayerRange
    layer_count: int
    kind: str
    peak_tokens_per_s: float
    batch_limit: int
    checks_fence: bool


class Load(NamedTuple):
    """An engine's load, as of some time ago."""

    active: int
    waiting: int
    leaving: bool
    adapters: list[str]


class Order(NamedTuple):
    """A fenced order: load an adapter, or leave."""

    order_id: int
    fence: int
    action: str
    argument: str


class OrderResult(NamedTuple):
    """What became of an order."""

    order_id: int
    accepted: bool
    known_fence: int


class CacheReport(NamedTuple):
    """Blocks of prompt prefixes that an engine gained or lost.

    Reports come late and some never; the sequence shows the gaps.
    """

    sequence: int
    added: list[int]
    removed: list[int]


class Export(NamedTuple):
    """Give out a request's KV cache; the engine keeps it until cancelled."""

    request: str
    epoch: int


class Cache(NamedTuple):
    """A request's KV cache on one stage.

    Attributes:
        request: The request.
        epoch: The epoch it was asked for, or is to go on under.
        position: The first position that it does not hold.
        refusal: Why there is none (a `Refusal`), zero if there is.
        data: The cache, as engines with the same layers exchange it.
    """

    request: str
    epoch: int
    position: int
    refusal: int
    data: bytes


class ImportResult(NamedTuple):
    """What became of a cache that was given to an engine."""

    request: str
    epoch: int
    refusal: int


T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


def encode_frame(kind: FrameKind, body: object) -> bytes:
    """Return the frame of *kind* that carries *body*."""
    return _encoder.encode((int(kind), body))


def decode_frame(data: bytes) -> tuple[int, msgspec.Raw]:
    """Split a frame into its kind and its undecoded body.

    Raises:
        msgspec.DecodeError: The frame is malformed.
    """
    return _frame_decoder.decode(data)


decode_steps = msgspec.msgpack.Decoder(list[Step]).decode
decode_results = msgspec.msgpack.Decoder(list[Result]).decode
decode_cancels = msgspec.msgpack.Decoder(list[Cancel]).decode
decode_hello = msgspec.msgpack.Decoder(Hello).decode
decode_load = msgspec.msgpack.Decoder(Load).decode
decode_order = msgspec.msgpack.Decoder(Order).decode
decode_export = msgspec.msgpack.Decoder(Export).decode
decode_cache = msgspec.msgpack.Decoder(Cache).decode
decode_import_result = msgspec.msgpack.Decoder(ImportResult).decode
decode_order_result = msgspec.msgpack.Decoder(OrderResult).decode
decode_prompt = msgspec.msgpack.Decoder(tuple[str, list[int]]).decode


def encode_prompt(prompt: str, tokens: list[int]) -> bytes:
    """Return the payload of a `PayloadKind.TOKENS` step."""
    return _encoder.encode((prompt, tokens))
