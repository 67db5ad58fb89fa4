# SPDX-License-Identifier: MIT
"""One call's work and prompt parts, and the servers that end while they have it."""

from __future__ import annotations

import asyncio
import functools

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from .. import clocks, events
from ..backends import BackendServer
from ..errors import HeldBackError
from ..router_settings import RouterSettings
from ..runner_health import ServerFault
from ..upstream import Call, ConnectionBrokenError
from ..work_ids import is_prompt_part, prompt_part_id, prompt_part_prefix
from ._server_ends import ServerEnds
from ._suspect import End, Hold
from .crash_suspects import PROBE_S, TRIAL_PAUSE_S, CrashSuspects


#: The longest time after which a caller is told to come back, in seconds: what is held
#: back for longer may still be cleared by then.
_MAX_RETRY_AFTER_S = 3_600.0
#: For how long a hold on a part of prompts is young, in seconds: if the part is sound,
#: other requests' answers clear it within that time.
_YOUNG_S = 1.0
#: Ends under a part of a prompt from which on requests with it go apart from others:
#: popular parts are under a single end all the time.
_APART_ENDS = 2
#: How often a call that waits for a probe looks whether it is over, in seconds.
_PROBE_LOOK_S = 0.02
#: The most parts of a prompt in one line of the log.
_MAX_LOGGED_PARTS = 8


class ServerSuspicion(Protocol):
    """Checks the links to servers that don't answer."""

    def suspect(self, server: BackendServer) -> object:
        """Check the links, since a server could not be reached."""


class WorkRouting(Protocol):
    """What a call's work needs of what all calls share.

    Attributes:
        settings: Name the instance.
        suspects: What is known of traits.
        ends: What is known of servers' ends.
        may_try: Tells whether this instance tries a held part.
    """

    settings: RouterSettings
    suspects: CrashSuspects
    ends: ServerEnds
    may_try: Callable[[str], bool]

    @property
    def link_watch(self) -> ServerSuspicion:
        """Checks links."""

    def note_end(self, end: End) -> None:
        """Note an end that this instance has seen, and tell the others."""

    def note_cleared(
        self, traits: Iterable[str], *, begun_s: float | None = None
    ) -> None:
        """Note that an answer, begun at some time, shows traits to end no server."""


def _retry_after_s(hold: Hold) -> float:
    """Return when a caller who is held back should come back, in seconds."""
    if is_prompt_part(hold.trait) and hold.age_s < _YOUNG_S:
        return _YOUNG_S
    return min(hold.left_s or TRIAL_PAUSE_S, _MAX_RETRY_AFTER_S)


class WorkInHand:
    """What one call has in common with others, and what follows of their ends.

    Args:
        routing: Shared by all calls.
        call: The call.
        workspace: Whose it is, or None where callers are not told apart.
    """

    def __init__(self, routing: WorkRouting, call: Call, workspace: str | None) -> None:
        self._routing = routing
        self._call = call
        self._workspace = workspace
        #: Whether an answer has gone on for a while, so that no part is at fault.
        self._is_cleared = False
        #: When the latest answer to it began.
        self._begun_s: float | None = None
        #: For how much longer it waits for others that probe its parts, in seconds.
        self._patience_s = PROBE_S
        #: The hold that this call may pass, as the one that tries whether it is right.
        self._trial: tuple[str, int] | None = None

    @functools.cached_property
    def id(self) -> str:
        """The work's id; a digest, made when it is first asked for."""
        return self._call.work_id(self._workspace)

    @functools.cached_property
    def _parts(self) -> tuple[str, ...]:
        """The ids of the prompt's parts, for all callers and for this one."""
        parts = self._call.prompt_parts
        shared = [prompt_part_id(one) for one in parts]
        if self._workspace is not None:
            shared += [prompt_part_id(one, caller=self._workspace) for one in parts]
        return tuple(shared)

    @property
    def _traits(self) -> tuple[str, ...]:
        """All that other requests may have in common with this one."""
        return (self.id, *self._parts)

    @property
    def is_held(self) -> bool:
        """Whether it must not be sent to any server now.

        Where a hold on a part of its prompt has run out, reading this may make the call
        the one that is let through.
        """
        return self._hold() is not None

    @property
    def suspected_trait(self) -> str | None:
        """What other requests under which servers ended have in common with it."""
        suspects = self._routing.suspects
        if not suspects:
            return None
        now_s = clocks.now_s()
        for part in self._parts if suspects.has_parts else ():
            has_ends = len(suspects.ends(part)) >= _APART_ENDS
            if has_ends and not suspects.is_sound(part, now_s):
                return part
        is_suspect = any(not end.has_begun for end in suspects.ends(self.id))
        return self.id if is_suspect else None

    def held_back(self) -> HeldBackError | None:
        """Return the refusal of a call that is held back, and log what decided it."""
        hold = self._hold()
        if hold is None:
            return None
        events.log(
            events.WORK_HELD,
            request_id=self._call.id,
            trait=hold.trait,
            lifetimes=[end.lifetime for end in hold.ends],
            witnesses=sorted({end.witness for end in hold.ends}),
            holds=hold.number,
            left_s=round(hold.left_s, 1),
        )
        what = "a part of its prompt" if is_prompt_part(hold.trait) else "it"
        msg = f"{len(hold.ends)} servers have ended under {what}"
        return HeldBackError(msg, retry_after_s=round(_retry_after_s(hold), 1))

    def _hold(self) -> Hold | None:
        """Return how it is held back; nothing is digested if nothing is suspected."""
        suspects = self._routing.suspects
        if not suspects:
            return None
        traits = self._traits if suspects.has_parts else (self.id,)
        hold = suspects.hold_for(traits, now_s=clocks.now_s())
        return None if hold is None or self._may_try(hold) else hold

    def _may_try(self, hold: Hold) -> bool:
        """Tell whether this call may show that a held part is not at fault."""
        trial = (prompt_part_prefix(hold.trait), hold.number)
        if self._trial == trial:
            return True
        if hold.left_s > 0.0 or not self._routing.may_try(hold.trait):
            return False
        if not self._routing.suspects.begin_trial(hold.trait, now_s=clocks.now_s()):
            return False
        self._trial = trial
        events.log(events.TRIAL_BEGUN, request_id=self._call.id, trait=hold.trait)
        return True

    async def wait_for_probe(self) -> bool:
        """Wait while another call probes a part of its prompt; tell whether it did so.

        Where none does, this call is the one that probes.  What is held back, which may
        change meanwhile, doesn't wait.
        """
        suspects = self._routing.suspects
        waited_s = 0.0
        while suspects.has_parts and self._patience_s > 0.0 and not self.is_held:
            left_s = suspects.begin_probe(
                self._parts, by=self._call.id, now_s=clocks.now_s()
            )
            if left_s <= 0.0:
                break
            wait_s = min(left_s, self._patience_s, _PROBE_LOOK_S)
            await asyncio.sleep(wait_s)
            self._patience_s -= wait_s
            waited_s += wait_s
        if not waited_s:
            return False
        events.log(
            events.PROBE_AWAITED, request_id=self._call.id, waited_s=round(waited_s, 3)
        )
        return True

    async def trouble_of(
        self, error: Exception, server: BackendServer, *, has_begun: bool
    ) -> ServerFault:
        """Return what an answer that was lost says of its server.

        One that has ended is left alone as a silent one is: else it was sent to again
        as soon as one that has failed once, and refused a connection.
        """
        if not isinstance(error, ConnectionBrokenError):
            return ServerFault.FAILED
        self._routing.link_watch.suspect(server)
        has_ended = await self.lost(server, has_begun=has_begun)
        return ServerFault.SILENT if has_ended else ServerFault.FAILED

    async def lost(self, server: BackendServer, *, has_begun: bool) -> bool:
        """Note that a server broke the call off; tell whether the server has ended.

        Args:
            server: Where the call was under way.
            has_begun: Whether a part of its answer had come from there.
        """
        ends = self._routing.ends
        if not await ends.has_ended(server):
            ends.doubt(server, self._ends(server, has_begun=has_begun))
            return False
        self._note(server, has_begun=has_begun)
        return True

    async def lost_on_path(
        self, servers: Sequence[BackendServer], *, since_s: float, has_begun: bool
    ) -> bool:
        """Note that a path's later servers are silent; tell whether some have ended.

        Those that end at the same moment are an outage, and count as one end: a work
        ends one server at a time.  Those that had ended before it came count for none.

        Args:
            servers: The silent ones, in the path's order.
            since_s: Since when the call was on that path, in monotonic seconds.
            has_begun: Whether a part of its answer had come along it.
        """
        ends = self._routing.ends
        before = [one for one in servers if ends.had_ended(one, before_s=since_s)]
        told = await asyncio.gather(*(ends.has_ended(one) for one in servers))
        ended = [one for one, has_ended in zip(servers, told, strict=True) if has_ended]
        new = [one for one in ended if one not in before]
        if new and not before:
            self._note(new[0], has_begun=has_begun, together=len(new))
        return bool(ended)

    def _ends(self, server: BackendServer, *, has_begun: bool) -> list[End]:
        """Return a server's end under each trait, as this instance has seen it."""
        witness = self._routing.settings.instance.id
        ends = [End(self.id, server.lifetime, has_begun, witness)]
        if not self._is_cleared:
            ends += [End(one, server.lifetime, False, witness) for one in self._parts]
        return ends

    def _note(
        self, server: BackendServer, *, has_begun: bool, together: int = 1
    ) -> None:
        """Note a server's end under the call, tell others, and log it."""
        for end in self._ends(server, has_begun=has_begun):
            self._routing.note_end(end)
        events.log(
            events.SERVER_ENDED,
            request_id=self._call.id,
            work=self.id,
            server_id=server.id,
            lifetime=server.lifetime,
            has_begun=has_begun,
            has_gone_on=self._is_cleared,
            parts=self._call.prompt_parts[:_MAX_LOGGED_PARTS],
            ended_together=together,
            is_held=self.is_held,
        )

    def began(self) -> None:
        """Note that its answer has begun."""
        if self._parts and self._begun_s is None:
            self._routing.suspects.note_begun(self._parts)
        self._begun_s = clocks.now_s()

    def went_on(self) -> None:
        """Note that its answer has gone on for a while: its parts end no server."""
        if not self._is_cleared or self._routing.suspects.has_parts:
            self._routing.note_cleared(self._parts, begun_s=self._begun_s)
        self._is_cleared = True

    def answered(self) -> None:
        """Note that it was answered whole."""
        if self._begun_s is None:
            self.began()
        self._routing.note_cleared(self._parts, begun_s=self._begun_s)
        if self._routing.suspects:
            self._routing.note_cleared((self.id,))
