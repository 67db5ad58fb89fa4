# SPDX-License-Identifier: MIT
"""Hands requests to other instances and reads their answers as they come."""

from __future__ import annotations

import asyncio

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import aiohttp

from .. import running_time
from .._call_errors import CALL_ERRORS, NOT_CONNECTED
from .._relay_http import TOKEN_HEADER, TOKEN_REFUSED
from ..errors import Ran, VioletHatchError
from ..instances import InstanceEntry
from ..upstream import AnswerLostError, Headers, ServerLoad
from ..upstream import Refusal as ServerRefusal
from ._wire import (
    PATH,
    AnswerHead,
    ForwardedRequest,
    Frame,
    FrameKind,
    FrameSplitter,
    Refusal,
    decoded_head,
    decoded_refusal,
    decoded_sends,
    encoded,
)


_Result = TypeVar("_Result")
_Message = TypeVar("_Message", AnswerHead, Refusal)
#: How long a connection to an instance may take, in seconds.
_CONNECT_S = 0.25
#: How long an instance that is at work says nothing, in seconds: some of its pings.
_SILENCE_S = 1.0
_OK = 200


class NotTakenError(Exception):
    """The instance could not be reached: it has not got the request."""


class TokenRefusedError(NotTakenError):
    """Another process than the entry's has the instance's address by now."""


class PeerRefusalError(Exception):
    """The instance gives no answer of a server's.

    Attributes:
        error: Its own error.
        in_flight: Requests in progress there.
        lost: Other instances without links, see `Refusal`.
    """

    def __init__(self, error: VioletHatchError, refusal: Refusal) -> None:
        super().__init__(str(error))
        self.error = error
        self.in_flight = refusal.in_flight
        self.lost = refusal.lost


class ForwardedAnswer:
    """A server's answer that another instance passes on, its body still to come.

    Args:
        answer: Carries the frames.
        on_silent: Called when the instance says nothing; tells whether to wait on.
    """

    def __init__(
        self, answer: aiohttp.ClientResponse, *, on_silent: Callable[[], bool]
    ) -> None:
        self._answer = answer
        self._on_silent = on_silent
        self._splitter = FrameSplitter()
        self._frames: list[Frame] = []
        self.status = 0
        self.is_framed = True
        self.length: int | None = None
        self.headers: Headers = ()
        self.refusal: ServerRefusal | None = None
        self.load: ServerLoad | None = None
        self.in_flight = 0
        #: The instance's sends to servers that may have run.
        self.sends = 1

    async def open(self) -> None:
        """Wait for the answer's head.

        Raises:
            PeerRefusalError: The instance gives none.
            AnswerLostError: It broke off or fell silent.
        """
        frame = await self._next()
        if frame.kind is FrameKind.REFUSAL:
            refusal = _understood(decoded_refusal, frame)
            raise PeerRefusalError(_error_of(refusal), refusal)
        head = _understood(decoded_head, frame)
        self.status = head.status
        self.headers = head.headers
        self.is_framed = head.is_framed
        self.in_flight = head.in_flight

    async def parts(self) -> AsyncIterator[bytes]:
        """Return the body as it comes.

        Raises:
            AnswerLostError: The body broke off.
        """
        while True:
            frame = await self._next()
            if frame.kind is FrameKind.END:
                return
            if frame.kind is not FrameKind.PART:
                msg = f"a frame that doesn't belong there: {frame.kind.name}"
                raise AnswerLostError(msg)
            yield frame.content

    def close(self, *, is_whole: bool) -> None:
        """Let go of the answer; unless it is whole, break it off."""
        if is_whole:
            self._answer.release()
        else:
            self._answer.close()

    async def _next(self) -> Frame:
        """Return the next frame that says something.

        Raises:
            AnswerLostError: None came.
        """
        while True:
            while self._frames:
                frame = self._frames.pop(0)
                if frame.kind is not FrameKind.ALIVE:
                    return frame
                self.sends = max(1, decoded_sends(frame.content))
            try:
                data = await _result(self._answer.content.readany(), self._on_silent)
                if not data:
                    msg = "the instance ended the answer"
                    raise AnswerLostError(msg, sends=self.sends)
                self._frames.extend(self._splitter.feed(data))
            except TimeoutError as error:
                msg = f"the instance was silent for {_SILENCE_S:g} s"
                raise AnswerLostError(msg, sends=self.sends) from error
            except CALL_ERRORS as error:
                msg = f"the answer broke off: {error!r}"
                raise AnswerLostError(msg, sends=self.sends) from error


class ForwardClient:
    """Hands requests to other instances.

    Args:
        kept: The session whose connections are used again.
        fresh: The session that opens one for each request.
        on_token_refused: Called with an instance that refuses its entry's token.
    """

    def __init__(
        self,
        kept: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        *,
        on_token_refused: Callable[[InstanceEntry], None] = lambda _peer: None,
    ) -> None:
        self._kept = kept
        self._fresh = fresh
        self._on_token_refused = on_token_refused

    async def send(
        self,
        peer: InstanceEntry,
        request: ForwardedRequest,
        *,
        is_repeatable: bool,
        on_silent: Callable[[], bool],
    ) -> ForwardedAnswer:
        """Hand a request to an instance; return its answer once the head is there.

        Args:
            peer: The instance.
            request: The request.
            is_repeatable: Whether it may run twice; else it goes out on a new
                connection, whose loss before the write leaves nothing open.
            on_silent: Called when the instance says nothing; tells whether to wait on.

        Raises:
            TokenRefusedError: The instance has started again since.
            NotTakenError: The instance has not got it.
            PeerRefusalError: It gives no answer of a server's.
            AnswerLostError: The request may have run.
        """
        session = self._kept if is_repeatable else self._fresh
        try:
            response = await _result(
                session.post(
                    f"http://{peer.address}{PATH}",
                    data=encoded(request),
                    headers={TOKEN_HEADER: peer.token},
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
                ),
                on_silent,
            )
        except NOT_CONNECTED as error:
            raise NotTakenError(repr(error)) from error
        except (TimeoutError, *CALL_ERRORS) as error:
            raise AnswerLostError(repr(error)) from error
        if response.status != _OK:
            response.close()
            msg = f"status {response.status}"
            if response.status != TOKEN_REFUSED:
                raise NotTakenError(msg)
            self._on_token_refused(peer)
            raise TokenRefusedError(msg)
        answer = ForwardedAnswer(response, on_silent=on_silent)
        try:
            await answer.open()
        except PeerRefusalError:
            answer.close(is_whole=True)
            raise
        except BaseException:
            answer.close(is_whole=False)
            raise
        return answer


async def _result(work: Awaitable[_Result], on_silent: Callable[[], bool]) -> _Result:
    """Return what an instance's next bytes come to.

    Raises:
        TimeoutError: It says nothing, and is not waited for.
    """
    task = asyncio.ensure_future(work)
    try:
        while not await running_time.wait([task], limit_s=_SILENCE_S):
            if not on_silent():
                raise TimeoutError
        return await task
    finally:
        task.cancel()


def _understood(decode: Callable[[bytes], _Message], frame: Frame) -> _Message:
    """Return a frame's message.

    Raises:
        AnswerLostError: It can't be understood.
    """
    try:
        return decode(frame.content)
    except ValueError as error:
        raise AnswerLostError(str(error)) from error


def _error_of(refusal: Refusal) -> VioletHatchError:
    """Return the error that an instance told of."""
    kind = VioletHatchError.registry.get(refusal.code, VioletHatchError)
    ran = Ran(refusal.ran) if refusal.ran in {*Ran} else Ran.MAYBE
    return kind(refusal.detail, ran=ran, retry_after_s=refusal.retry_after_s)
