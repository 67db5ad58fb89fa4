# SPDX-License-Identifier: MIT
"""Messages between an entry instance and a model engine.

They are sent as binary WebSocket frames.  A frame is a MessagePack array of a
kind and a body.  The tuples below are encoded as arrays, without field names.
Steps to an engine are batched in a frame.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum

from typing import NamedTuple, TypeVar

import msgspec

from .layers import LayerRange


class FrameKind(enum.IntEnum):
    """The type of a frame's body."""

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
    """The type of a step's payload."""

    TOKENS = 1  # MessagePack array: prompt text, tokens generated so far
    HIDDEN = 2  # concatenated hidden states of the positions


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
        epoch: The attempt's epoch; engines refuse epochs below the latest one.
        position: The first position to run.  Zero restarts the request.
        positions: Number of positions; zero if the engine has to count the tokens.
        priority: Steps with higher values are run first.
        kind: The type of the payload (a `PayloadKind`).
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
    """The result of a step.

    Attributes:
        request: The step's request.
        epoch: The step's epoch.
        position: The step's first position.
        positions: Number of positions that were run.
        refusal: Why the step was not run (a `Refusal`), zero if it was.
        payload: Hidden states, or the UTF-8 text of the last stage's token.
        token: The last stage's token, -1 from other stages.
        end: Whether the token terminates the response.
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
    """Cancel a request, for epochs up to the given one."""

    request: str
    epoch: int


class Hello(NamedTuple):
    """An engine's properties, sent when a connection is established."""

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
    """An engine's load at the time of the report."""

    active: int
    waiting: int
    leaving: bool
    adapters: list[str]


class Order(NamedTuple):
    """A fenced order: load an adapter or shut down."""

    order_id: int
    fence: int
    action: str
    argument: str


class OrderResult(NamedTuple):
    """The result of an order."""

    order_id: int
    accepted: bool
    known_fence: int


class CacheReport(NamedTuple):
    """Blocks of prompt prefixes that an engine has cached or evicted.

    Reports may be delayed or lost; the sequence number reveals gaps.
    """

    sequence: int
    added: list[int]
    removed: list[int]


class Export(NamedTuple):
    """Export a request's KV cache; the engine retains it until cancelled."""

    request: str
    epoch: int


class Cache(NamedTuple):
    """A request's KV cache on one stage.

    Attributes:
        request: The request.
        epoch: The epoch of the export request, or the one to continue under.
        position: The first position that is not cached.
        refusal: Why there is no cache (a `Refusal`), zero if there is one.
        data: The cache, in the format that engines with the same layers exchange.
    """

    request: str
    epoch: int
    position: int
    refusal: int
    data: bytes


class ImportResult(NamedTuple):
    """The result of importing a cache into an engine."""

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
