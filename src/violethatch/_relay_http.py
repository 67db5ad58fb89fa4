# SPDX-License-Identifier: MIT
"""What instances say to each other about tables: HTTP with MessagePack bodies.

Only who reads the store knows an instance's token, and only who shows it gets an
answer.
"""

from __future__ import annotations

import asyncio
import hmac
import math
import zlib

from collections.abc import Awaitable, Callable, Mapping

import msgspec

from aiohttp import ClientResponse
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from . import clocks, deadlines
from ._bounded_responses import read_at_most
from ._call_errors import CALL_ERRORS, NOT_CONNECTED
from ._connection_choice import ConnectionChoice
from ._decoding import decoded
from ._serving import listen
from .instances import InstanceEntry
from .peer_reads import (
    NoUpdateError,
    PeerLostError,
    PeerRefusedError,
    PeerSilentError,
    PeerTokenRefusedError,
)
from .store_era import NO_ERA
from .table_cache import TableCache
from .upstream import TableView


#: Shows the asked instance its own token.
TOKEN_HEADER = "Violethatch-Peer"
#: In a refusal: when the store was last known to be unavailable, by its own clock.
_OUTAGE_HEADER = "Violethatch-Store-Unavailable-S"
_PATH = "/changes"
_OK = 200
_NO_UPDATE = 204
_UNAVAILABLE = 503
_BAD_REQUEST = 400
#: The status of a request that shows another token than the instance's.
TOKEN_REFUSED = 403
#: The longest wait for an update that is granted, in seconds.
_MOST_WAIT_S = 5.0
#: From this size on bodies are compressed, in bytes; below, a packet holds them.
_COMPRESSED_FROM_BYTES = 1_400
#: The first byte of a body tells whether it is compressed.
_UNCOMPRESSED, _COMPRESSED = b"\0", b"\1"
#: From this size on compression takes longer than a thread's start, in bytes.
_THREAD_FROM_BYTES = 200_000
#: The largest table that is unpacked, in bytes.
_MAX_UNPACKED_BYTES = 16_000_000
#: The quickest of zlib's levels: JSON shrinks to a tenth at it already.
_COMPRESSION_LEVEL = 1


#: Answers one request of another instance, which has shown the token.
Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class _Answer(msgspec.Struct, array_like=True):
    """A table's updates."""

    values: dict[str, bytes | None]
    version: int
    store_s: float
    is_whole: bool
    unavailable_s: float | None
    era: int = NO_ERA


class RelayListener:
    """Answers other instances from this one's tables.

    Args:
        caches: By table, what this instance knows of it.
        token: What others have to show.
        handlers: By path, who answers what is not about tables.
    """

    def __init__(
        self,
        caches: Mapping[str, TableCache],
        *,
        token: str,
        handlers: Mapping[str, Handler] | None = None,
    ) -> None:
        self._caches = caches
        self._token = token
        self._handlers = handlers or {}
        self._packers = {table: _Packer() for table in caches}
        self._server = Server(self._handle, handler_cancellation=True, access_log=None)

    async def start(self, endpoint: str) -> None:
        """Listen on an address.

        Raises:
            AddressError: The address can't be listened on.
        """
        await listen(self._server, endpoint)

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one request, if it shows the token."""
        shown = request.headers.get(TOKEN_HEADER, "")
        if not hmac.compare_digest(shown.encode(), self._token.encode()):
            return Response(status=TOKEN_REFUSED)
        handle = self._handlers.get(request.path, self._answer)
        return await handle(request)

    async def _answer(self, request: BaseRequest) -> Response:
        """Answer with the updates of the table that a request names."""
        table = request.query.get("table", "")
        cache = self._caches.get(table)
        try:
            after = int(request.query["after"])
            known_s = float(request.query["known_s"])
            wait_s = float(request.query["wait_s"])
            is_patient = request.query.get("patient") == "1"
            era = int(request.query["era"]) if "era" in request.query else None
        except (KeyError, ValueError):
            return Response(status=_BAD_REQUEST)
        if cache is None:
            return Response(status=_BAD_REQUEST)
        view = await cache.updates(
            after=after,
            known_s=known_s,
            wait_s=min(wait_s, _MOST_WAIT_S),
            era=era,
            is_patient=is_patient,
        )
        if view is None:
            return _no_update(cache)
        return Response(body=await self._packers[table].packed(view))


class RelayClient:
    """Asks other instances for their tables.

    Args:
        connections: Make the calls.
    """

    def __init__(self, connections: ConnectionChoice) -> None:
        self._connections = connections
        self._decoder = msgspec.msgpack.Decoder(_Answer)

    async def changes(
        self,
        peer: InstanceEntry,
        table: str,
        *,
        after: int,
        known_s: float,
        wait_s: float,
        margin_s: float,
        era: int = NO_ERA,
        is_patient: bool = False,
    ) -> TableView:
        """Return a table's changes; see `PeerReads.changes`.

        Raises:
            NoUpdateError: There was none in time.
            PeerRefusedError: The store refuses it.
            PeerTokenRefusedError: It has started again since its entry was written.
            PeerLostError: The connection broke or fell silent.
            PeerSilentError: It gave no answer.
        """
        query = {
            "table": table,
            "after": str(after),
            "known_s": repr(known_s),
            "wait_s": repr(wait_s),
            "patient": str(int(is_patient)),
            "era": str(era),
        }
        try:
            async with deadlines.until(clocks.now_s() + wait_s + margin_s):
                body = await self._get(peer, query)
            return _decoded(body, self._decoder)
        except (*NOT_CONNECTED, ValueError) as error:
            raise PeerSilentError(repr(error)) from error
        except (TimeoutError, *CALL_ERRORS) as error:
            self._connections.record_lost_response()
            raise PeerLostError(repr(error)) from error

    async def _get(self, peer: InstanceEntry, query: Mapping[str, str]) -> bytes:
        """Return the body of an instance's answer.

        Raises:
            NoUpdateError: It says that there is none.
            PeerRefusedError: The store refuses it.
            PeerTokenRefusedError: It has started again since its entry was written.
            PeerSilentError: It is a refusal.
        """
        async with self._connections.session.get(
            f"http://{peer.address}{_PATH}",
            params=query,
            headers={TOKEN_HEADER: peer.token},
        ) as answer:
            body = await read_at_most(answer, _MAX_UNPACKED_BYTES)
            _require_update(answer)
            return body


def _no_update(cache: TableCache) -> Response:
    """Return the answer where a table has no update."""
    if not cache.is_unavailable:
        return Response(status=_NO_UPDATE)
    response = Response(status=_UNAVAILABLE)
    if cache.unavailable_s is not None:
        response.headers[_OUTAGE_HEADER] = repr(cache.unavailable_s)
    return response


def _require_update(answer: ClientResponse) -> None:
    """Pass an answer with updates.

    Raises:
        NoUpdateError: It says that there is none.
        PeerRefusedError: The store refuses it.
        PeerTokenRefusedError: It has started again since its entry was written.
        PeerSilentError: It is a refusal.
    """
    if answer.status == _NO_UPDATE:
        msg = "no update"
        raise NoUpdateError(msg)
    if answer.status == _UNAVAILABLE:
        msg = "the store refuses it"
        unavailable_s = _parse_time(answer.headers.get(_OUTAGE_HEADER))
        raise PeerRefusedError(msg, unavailable_s=unavailable_s)
    msg = f"status {answer.status}"
    if answer.status == TOKEN_REFUSED:
        raise PeerTokenRefusedError(msg)
    if answer.status != _OK:
        raise PeerSilentError(msg)


def _parse_time(text: str | None) -> float | None:
    """Return the time that a header holds, or None if it holds none."""
    try:
        time_s = float(text or "")
    except ValueError:
        return None
    return time_s if math.isfinite(time_s) else None


class _Packer:
    """Packs a table's answers; all who wait for a change share its body."""

    def __init__(self) -> None:
        self._view: TableView | None = None
        self._packing: asyncio.Future[bytes] | None = None

    async def packed(self, view: TableView) -> bytes:
        """Return an answer's body."""
        if self._packing is None or view != self._view:
            body = _encoded(view)
            if len(body) < _COMPRESSED_FROM_BYTES:
                return _UNCOMPRESSED + body
            self._view = view
            self._packing = asyncio.ensure_future(_compressed(body))
        # It outlives an asker that gives up.
        return await asyncio.shield(self._packing)


async def _compressed(body: bytes) -> bytes:
    """Return a compressed body; a large one is compressed beside the event loop."""
    if len(body) < _THREAD_FROM_BYTES:
        return _COMPRESSED + zlib.compress(body, _COMPRESSION_LEVEL)
    return _COMPRESSED + await asyncio.to_thread(
        zlib.compress, body, _COMPRESSION_LEVEL
    )


def _encoded(view: TableView) -> bytes:
    """Return an answer as MessagePack."""
    answer = _Answer(
        dict(view.values),
        view.version,
        view.store_s,
        view.is_whole,
        view.unavailable_s,
        view.era,
    )
    return msgspec.msgpack.encode(answer)


def _unpacked(packed: bytes) -> bytes:
    """Return what was packed.

    Raises:
        ValueError: It can't be unpacked, or is too large.
    """
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not unpacker.eof:
        msg = f"cut off, or over {_MAX_UNPACKED_BYTES} bytes"
        raise ValueError(msg)
    return body


def _decoded(body: bytes, decoder: msgspec.msgpack.Decoder[_Answer]) -> TableView:
    """Return a table's updates from an answer's body.

    Raises:
        ValueError: It can't be understood.
    """
    if not body:
        msg = "an empty answer"
        raise ValueError(msg)
    packed = body[1:]
    answer = decoded(decoder, _unpacked(packed) if body[0] else packed)
    return TableView(
        answer.values,
        answer.version,
        answer.store_s,
        is_whole=answer.is_whole,
        is_relayed=True,
        unavailable_s=answer.unavailable_s,
        era=answer.era,
    )
