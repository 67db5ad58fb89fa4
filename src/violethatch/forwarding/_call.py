# SPDX-License-Identifier: MIT
"""One call that is served through other instances, one of them at a time."""

from __future__ import annotations

from collections.abc import Callable

from .. import deadlines, events
from .._plain_answers import PlainAnswer
from .._stream_output import StreamOutput
from ..desired import Admitted, CallKind
from ..errors import (
    DeadlineError,
    PipelineFailedError,
    Ran,
    ServiceLostError,
    VioletHatchError,
)
from ..event_stream import SpoiltStreamError
from ..upstream import AnswerLostError, Call, Responder
from ._client import ForwardedAnswer
from ._forwarding import Forwarding
from ._successor import Handover, Successor


_OK = 200
_MULTIPLE_CHOICES = 300


class MustForwardError(Exception):
    """No server can be reached for a call: another instance has to serve it."""


class ForwardedCall:
    """Serves one call through other instances.

    Args:
        forwarding: Hands it over.
        call: The call.
        admitted: What the desired state says of it here.
        runs: Sends that may have run already.
        output: What its caller has got of it, where it is a stream.
    """

    def __init__(
        self,
        forwarding: Forwarding,
        call: Call,
        admitted: Admitted,
        *,
        runs: int,
        output: StreamOutput,
    ) -> None:
        self._forwarding = forwarding
        self._call = call
        self._admitted = admitted
        self._route = admitted.route
        self._deadline_s = call.deadline_within_s(admitted.route.timeout_s)
        self._output = output
        #: Sends that may have run, here and elsewhere.
        self.runs = runs
        #: The instance that served it last.
        self.served_by: str | None = None
        #: The answer that is being passed on.
        self._answer: ForwardedAnswer | None = None
        self._successor = Successor(self._hand_over_beside)

    async def serve(self, responder: Responder) -> int:
        """Answer the caller; return the status, or 0 where a stream was cut.

        Raises:
            VioletHatchError: Nothing of an answer was given to the caller.
        """
        try:
            return await self._serve(responder, on_event=_ignore)
        except VioletHatchError:
            if not self._output.is_started:
                raise
        responder.abort()
        events.log(
            events.STREAM_CUT,
            request_id=self._call.id,
            reason="forwarding",
            last_event_id=self._output.progress.last_id,
            runs=self.runs,
        )
        return 0

    async def serve_beside(
        self, responder: Responder, *, on_event: Callable[[], None]
    ) -> int:
        """Give the caller of a stream its events; return the status.

        What is not the stream's events is not passed on, and an answer that has begun
        is left as it is where the rest is lost.

        Args:
            responder: Answers the caller.
            on_event: Told before an event is given that the caller lacks.

        Raises:
            VioletHatchError: No other instance gives the stream, or its rest.
        """
        return await self._serve(responder, on_event=on_event, is_beside=True)

    async def _serve(
        self,
        responder: Responder,
        *,
        on_event: Callable[[], None],
        is_beside: bool = False,
    ) -> int:
        """Answer the caller; return the status.

        Raises:
            VioletHatchError: No other instance gives the answer, or its rest.
        """
        try:
            return await self._serve_in_turn(responder, on_event, is_beside)
        finally:
            self._successor.drop()

    async def _serve_in_turn(
        self, responder: Responder, on_event: Callable[[], None], is_beside: bool
    ) -> int:
        """Hand the call over to one instance after another; return the status.

        Raises:
            VioletHatchError: No other instance gives the answer, or its rest.
        """
        handover: Handover | None = None
        while True:
            try:
                async with deadlines.until(self._deadline_s):
                    handover = handover or await self._hand_over()
                    return await self._serve_once(
                        handover, responder, on_event, is_beside
                    )
            except (AnswerLostError, SpoiltStreamError, TimeoutError) as error:
                handover = self._successor.take()
                if handover is not None:
                    continue  # it was counted when it was asked for
                self.runs += self._lost_sends(error)
                self._answer = None
                if not self._may_send_again():
                    raise self._failure() from None
            except VioletHatchError as refusal:
                if refusal.ran is not Ran.NO:
                    self.runs += 1
                elif self.runs:
                    raise self._failure() from refusal
                raise

    async def _hand_over(self) -> Handover:
        """Hand the call, or the rest of its stream, over once.

        Raises:
            VioletHatchError: No instance serves it.
            AnswerLostError: Its answer was lost.
        """
        is_stream = self._route.kind is CallKind.STREAM
        peer, answer = await self._forwarding.send(
            self._call,
            self._admitted.service.name,
            deadline_s=self._deadline_s,
            is_repeatable=self._route.is_repeatable,
            waits_out_silence=not self._may_follow(),
            runs=self.runs,
            last_event_id=self._output.progress.last_id,
            on_silent_body=self._note_silent_body if is_stream else None,
        )
        return Handover(peer, answer)

    async def _hand_over_beside(self) -> Handover:
        """Hand the rest of a stream over beside an instance that is silent.

        Raises:
            VioletHatchError: No other instance serves it.
            AnswerLostError: Its answer was lost.
        """
        sends = self._silent_sends
        self.runs += sends
        try:
            return await self._hand_over()
        except VioletHatchError as refusal:
            if refusal.ran is Ran.NO:
                self.runs -= sends
            raise

    def _note_silent_body(self) -> None:
        """Note that the instance which gives a stream says nothing for a while."""
        if self._may_follow(sends=self._silent_sends):
            self._successor.find()

    async def _serve_once(
        self,
        handover: Handover,
        responder: Responder,
        on_event: Callable[[], None],
        is_beside: bool,
    ) -> int:
        """Pass the answer of a call that was handed over on.

        Raises:
            AnswerLostError: The answer was lost.
            SpoiltStreamError: It is not the stream's next events.
        """
        peer, answer = handover
        self.served_by = peer.id
        self._answer = answer
        self._forwarding.began(peer.id)
        is_whole = False
        try:
            status = await self._pass_on(answer, responder, on_event, is_beside)
            is_whole = True
        except AnswerLostError as error:
            self._forwarding.note_lost(peer, self._call.id, str(error))
            raise
        finally:
            self._forwarding.ended(peer.id)
            answer.close(is_whole=is_whole)
        return status

    async def _pass_on(
        self,
        answer: ForwardedAnswer,
        responder: Responder,
        on_event: Callable[[], None],
        is_beside: bool,
    ) -> int:
        """Give an answer to the caller; return its status."""
        is_success = _OK <= answer.status < _MULTIPLE_CHOICES
        if self._route.kind is CallKind.STREAM and is_success:
            parts = self._successor.parts(answer)
            await self._output.pass_on(parts, answer, responder, on_event=on_event)
            await responder.finish()
            return answer.status
        if self._output.is_started or is_beside:
            msg = f"status {answer.status} for the rest of a stream"
            raise AnswerLostError(msg)
        plain = PlainAnswer(
            answer,
            memory=self._forwarding.memory,
            max_bytes=self._forwarding.max_answer_bytes(),
        )
        try:
            await plain.buffer()
            return await plain.send(
                responder, request_id=self._call.id, deadline_s=self._deadline_s
            )
        finally:
            plain.close()

    @property
    def _silent_sends(self) -> int:
        """The sends of the instance whose answer is being passed on."""
        return self._answer.sends if self._answer is not None else 1

    def _lost_sends(self, error: Exception) -> int:
        """Return how many sends may have run of a handover that was lost."""
        if self._answer is None and isinstance(error, AnswerLostError):
            return error.sends
        # What is found wrong with an answer doesn't know of its sends.
        return self._silent_sends

    def _may_follow(self, *, sends: int = 1) -> bool:
        """Tell whether another handover may follow one that sends the call so often.

        An instance that is silent may go on: else it is waited for.
        """
        is_left = self.runs + sends < self._route.max_attempts
        return self._route.is_repeatable and is_left

    def _may_send_again(self) -> bool:
        """Tell whether the call may be handed over once more."""
        is_left = self.runs < self._route.max_attempts
        in_time = not deadlines.is_over(self._deadline_s)
        return self._route.is_repeatable and is_left and in_time

    def _failure(self) -> VioletHatchError:
        """Return the error of a call that may have run."""
        if deadlines.is_over(self._deadline_s):
            limit = self._call.deadline_source(self._route.timeout_s)
            return DeadlineError(f"no answer before the deadline: {limit}")
        if self._route.kind is CallKind.STREAM:
            return PipelineFailedError("the answer of another instance was lost")
        return ServiceLostError("the answer of another instance was lost")


def _ignore() -> None:
    """Stand in for whoever wants to know of events."""
