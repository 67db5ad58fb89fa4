# SPDX-License-Identifier: MIT
"""Hands calls that this instance can't bring to a server to others that can."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Protocol, cast

from .. import clocks, events
from .._bodies import reserve
from ..errors import (
    DrainingError,
    LinksLostError,
    NotConfiguredError,
    Ran,
    ServiceUnreachableError,
    UnprovenStateError,
    VioletHatchError,
)
from ..instances import InstanceEntry
from ..memory_budget import MemoryBudget
from ..upstream import AnswerLostError, Call
from ._choice import PeerChoice
from ._client import (
    ForwardedAnswer,
    NotTakenError,
    PeerRefusalError,
    TokenRefusedError,
)
from ._wire import ForwardedRequest, decoded_lost


_MS_PER_S = 1000.0
#: How many instances that have started again are not counted as asked for a call.
_MAX_FORMER = 32
#: Errors of one instance that say nothing of what another one can do.
_OF_THAT_INSTANCE = (
    DrainingError,
    LinksLostError,
    NotConfiguredError,
    ServiceUnreachableError,
    UnprovenStateError,
)


class PeerClient(Protocol):
    """Hands requests to other instances."""

    async def send(
        self,
        peer: InstanceEntry,
        request: ForwardedRequest,
        *,
        is_repeatable: bool,
        on_silent: Callable[[], bool],
    ) -> ForwardedAnswer:
        """Hand a request over; see `ForwardClient.send`."""


class Forwarding:
    """Hands one instance's calls to others.

    Args:
        client: Hands requests over.
        own_id: The instance.
        peers: Returns all other instances.
        choice: Chooses among them.
        state_version: Returns the version of the desired state in force here.
        retry_after_s: Returns when a call that nobody can serve should come back, in
            seconds.
        memory: The memory for the bodies of requests and answers.
        max_answer_bytes: Returns the max length of an answer's body.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        own_id: str,
        peers: Callable[[], Sequence[InstanceEntry]],
        choice: PeerChoice,
        state_version: Callable[[], int],
        retry_after_s: Callable[[], float],
        memory: MemoryBudget,
        max_answer_bytes: Callable[[], int],
    ) -> None:
        self.memory = memory
        self.max_answer_bytes = max_answer_bytes
        self._client = client
        self._own_id = own_id
        self._peers = peers
        self._choice = choice
        self._state_version = state_version
        self._retry_after_s = retry_after_s
        #: Told of each request that was handed over, and what came of it.
        self.on_outcome: Callable[[str], None] = lambda _outcome: None

    async def send(
        self,
        call: Call,
        service: str,
        *,
        deadline_s: float,
        is_repeatable: bool,
        waits_out_silence: bool,
        runs: int,
        last_event_id: int | None,
        on_silent_body: Callable[[], None] | None = None,
    ) -> tuple[InstanceEntry, ForwardedAnswer]:
        """Hand a call over; return the instance that serves it, and its answer's head.

        Args:
            call: The call.
            service: Its service.
            deadline_s: Until when it may take, in monotonic seconds.
            is_repeatable: Whether it may run twice.
            waits_out_silence: Whether an instance that says nothing is waited for.
            runs: Sends that may have run already.
            last_event_id: The event after which its stream goes on.
            on_silent_body: Called for each second of silence within the answer's body,
                which is then waited for.

        Raises:
            VioletHatchError: No instance serves it, for this reason.
            AnswerLostError: It was handed over, and its answer was lost.
        """
        asked: dict[str, InstanceEntry] = {}
        former = 0
        max_asked = self._choice.max_asked(service, now_s=clocks.now_s())
        while len(asked) < max_asked:
            now_s = clocks.now_s()
            peer = self._next_peer(service, asked.values(), now_s=now_s)
            if peer is None or now_s >= deadline_s:
                break
            asked[peer.id] = peer
            request = self._request(
                call, deadline_s=deadline_s, runs=runs, last_event_id=last_event_id
            )
            try:
                with self.memory.open() as reservation:
                    # The message holds the body once more.
                    reserve(reservation, len(call.body))
                    answer = await self._ask(
                        peer,
                        service,
                        request,
                        is_repeatable=is_repeatable,
                        waits_out_silence=waits_out_silence,
                        on_silent_body=on_silent_body,
                    )
            except TokenRefusedError as reason:
                self._log_refused(peer, request, None, str(reason))
                former += 1
                if former < _MAX_FORMER:
                    del asked[peer.id]  # it is not offered until its entry is known
                continue
            if answer is not None:
                self._choice.note_taken(peer, service, now_s=clocks.now_s())
                return peer, answer
        self._log_unserved(call, service, asked.values())
        self.on_outcome("none")
        msg = (
            f"no server can be reached, nor an instance that could ({len(asked)} asked)"
        )
        raise LinksLostError(msg, retry_after_s=self._retry_after_s())

    def lost_peers(self, service: str) -> dict[str, float]:
        """Return the other instances that reach no server of a service either.

        Returns:
            By id, for how long that is known, in seconds.
        """
        return self._choice.lost_peers(self._peers(), service, now_s=clocks.now_s())

    def count_lost_peers(self) -> dict[str, int]:
        """Return how many other instances have announced lost links, by service."""
        return self._choice.count_lost_peers(self._peers(), now_s=clocks.now_s())

    def has_peer(self, service: str) -> bool:
        """Tell whether an instance can be asked that may serve a service."""
        peer = self._choice.choose(self._peers(), service, now_s=clocks.now_s())
        return peer is not None

    def began(self, peer_id: str) -> None:
        """Count a call that an instance serves."""
        self._choice.began(peer_id)

    def ended(self, peer_id: str) -> None:
        """Count the end of such a call."""
        self._choice.ended(peer_id)
        self._choice.forget_old(now_s=clocks.now_s())

    def note_lost(self, peer: InstanceEntry, call_id: str, reason: str) -> None:
        """Note that an answer was lost on its way from an instance."""
        self._choice.note_silent(peer, now_s=clocks.now_s())
        self.on_outcome("lost")
        events.log(
            events.FORWARD_LOST,
            request_id=call_id,
            instance_id=peer.id,
            reason=reason,
        )

    def _next_peer(
        self, service: str, asked: Collection[InstanceEntry], *, now_s: float
    ) -> InstanceEntry | None:
        """Return the instance to ask next, or None if none may serve."""
        peers = self._peers()
        peer = self._choice.choose(peers, service, refused=asked, now_s=now_s)
        if peer is None and not asked:
            return self._choice.last_resort(peers, service, now_s=now_s)
        return peer

    async def _ask(
        self,
        peer: InstanceEntry,
        service: str,
        request: ForwardedRequest,
        *,
        is_repeatable: bool,
        waits_out_silence: bool,
        on_silent_body: Callable[[], None] | None,
    ) -> ForwardedAnswer | None:
        """Hand a request to an instance; None if another one is to be asked.

        Raises:
            TokenRefusedError: It has started again since its entry was read.
            VioletHatchError: No other instance would serve it either.
            AnswerLostError: Its answer was lost.
        """
        has_head = False

        def on_silent() -> bool:
            if not has_head or on_silent_body is None:
                return self._note_silent(peer, service, request, waits_out_silence)
            self._note_silent(peer, service, request, waits_out_silence=True)
            on_silent_body()
            return True

        try:
            answer = await self._client.send(
                peer, request, is_repeatable=is_repeatable, on_silent=on_silent
            )
        except TokenRefusedError:
            raise
        except NotTakenError as reason:
            self._choice.note_silent(peer, now_s=clocks.now_s())
            self._log_refused(peer, request, None, str(reason))
            return None
        except PeerRefusalError as refusal:
            error = refusal.error
            self._choice.note_load(peer.id, refusal.in_flight, now_s=clocks.now_s())
            self._log_refused(peer, request, error, error.detail)
            if not isinstance(error, _OF_THAT_INSTANCE) or error.ran is not Ran.NO:
                raise error from None
            self._note_refused(peer, service, refusal)
            return None
        except AnswerLostError as lost:
            self.note_lost(peer, request.call_id, str(lost))
            raise
        has_head = True
        self._choice.note_load(peer.id, answer.in_flight, now_s=clocks.now_s())
        self.on_outcome("answered")
        events.log(
            events.FORWARD_TAKEN,
            request_id=request.call_id,
            instance_id=peer.id,
            in_flight=answer.in_flight,
        )
        return answer

    def _note_refused(
        self, peer: InstanceEntry, service: str, refusal: PeerRefusalError
    ) -> None:
        """Note that an instance can't serve a service now, and who else can't."""
        now_s = clocks.now_s()
        if refusal.lost is None:
            self._choice.note_refused(peer.id, service, now_s=now_s)
            return
        others = decoded_lost(refusal.lost, self._peers())
        self._choice.note_lost_links(peer, service, others, now_s=now_s)

    def _note_silent(
        self,
        peer: InstanceEntry,
        service: str,
        request: ForwardedRequest,
        waits_out_silence: bool,
    ) -> bool:
        """Ask other instances first for a while; tell whether to wait for this one.

        It is waited for where no other one would take the request either.
        """
        self._choice.note_silent(peer, now_s=clocks.now_s())
        is_waited_for = waits_out_silence or not self.has_peer(service)
        events.log(
            events.FORWARD_SILENT,
            request_id=request.call_id,
            instance_id=peer.id,
            is_waited_for=is_waited_for,
        )
        return is_waited_for

    def _log_unserved(
        self, call: Call, service: str, asked: Iterable[InstanceEntry]
    ) -> None:
        """Log which instances were asked for a call, and why no others were."""
        known = self._choice.knowledge(self._peers(), service, now_s=clocks.now_s())
        events.log(
            events.FORWARD_UNSERVED,
            request_id=call.id,
            service=service,
            asked_by_zone=Counter(one.availability_zone for one in asked),
            **known._asdict(),
        )

    def _log_refused(
        self,
        peer: InstanceEntry,
        request: ForwardedRequest,
        error: VioletHatchError | None,
        reason: str,
    ) -> None:
        """Log and count that an instance did not serve a request."""
        self.on_outcome("refused" if error is not None else "not_taken")
        events.log(
            events.FORWARD_REFUSED,
            request_id=request.call_id,
            instance_id=peer.id,
            availability_zone=peer.availability_zone,
            code=error.code if error is not None else None,
            reason=reason,
        )

    def _request(
        self, call: Call, *, deadline_s: float, runs: int, last_event_id: int | None
    ) -> ForwardedRequest:
        """Return a call as it is handed over now."""
        now_s = clocks.now_s()
        return ForwardedRequest(
            call_id=call.id,
            method=call.method,
            host=call.host,
            target=call.target,
            headers=[(name, value) for name, value in call.headers],
            body=cast("bytes", call.body),
            key=call.key,
            age_ms=max(0.0, (now_s - call.received_s) * _MS_PER_S),
            left_ms=max(0.0, (deadline_s - now_s) * _MS_PER_S),
            last_event_id=last_event_id,
            prompt_tokens=call.prompt_tokens,
            state_version=self._state_version(),
            runs=runs,
            sender=self._own_id,
            prompt_parts=call.prompt_parts,
        )
