# SPDX-License-Identifier: MIT
"""One call's work, and the servers that end while they have it."""

from __future__ import annotations

import asyncio
import functools

from collections.abc import Sequence
from typing import TYPE_CHECKING

from .. import clocks, events
from ..backends import BackendServer
from ..errors import HeldBackError
from ..runner_health import Trouble
from ..upstream import Call, ConnectionBrokenError
from .crash_suspects import End, Hold


if TYPE_CHECKING:
    from .._routing import Routing


#: The longest time after which a caller is told to come back, in seconds: what is held
#: back for longer may still be cleared by then.
_LONGEST_RETRY_S = 3_600.0
#: The most parts of a prompt in one line of the log.
_MAX_LOGGED_PARTS = 8


class WorkInHand:
    """The work of one call.

    Args:
        routing: Shared by all calls.
        call: The call.
        workspace: Whose it is, or None where callers are not told apart.
    """

    def __init__(self, routing: Routing, call: Call, workspace: str | None) -> None:
        self._routing = routing
        self._call = call
        self._workspace = workspace

    @functools.cached_property
    def id(self) -> str:
        """The work's id; a digest, made when it is first asked for."""
        return self._call.work_id(self._workspace)

    @property
    def is_held(self) -> bool:
        """Whether it must not be sent to any server now."""
        return self._hold() is not None

    @property
    def is_suspect(self) -> bool:
        """Whether a server has ended under it before it had begun there."""
        suspects = self._routing.suspects
        if not suspects:
            return False
        return any(not end.has_begun for end in suspects.ends(self.id))

    def held_back(self) -> HeldBackError | None:
        """Return the refusal of a work that is held back, and log what decided it."""
        hold = self._hold()
        if hold is None:
            return None
        events.log(
            events.WORK_HELD,
            request_id=self._call.id,
            work=hold.work,
            lifetimes=[end.lifetime for end in hold.ends],
            witnesses=sorted({end.witness for end in hold.ends}),
            holds=hold.number,
            left_s=round(hold.left_s, 1),
        )
        msg = f"{len(hold.ends)} servers have ended under it"
        retry_after_s = min(hold.left_s, _LONGEST_RETRY_S)
        return HeldBackError(msg, retry_after_s=round(retry_after_s, 1))

    def _hold(self) -> Hold | None:
        """Return how it is held back; nothing is digested if nothing is suspected."""
        suspects = self._routing.suspects
        return suspects.hold(self.id, now_s=clocks.now_s()) if suspects else None

    async def trouble_of(
        self, error: Exception, server: BackendServer, *, has_begun: bool
    ) -> Trouble:
        """Return what an answer that was lost says of its server.

        One that has ended is left alone as a silent one is: else it was sent to again
        as soon as one that has failed once, and refused a connection.
        """
        if not isinstance(error, ConnectionBrokenError):
            return Trouble.FAILED
        self._routing.link_watch.suspect(server)
        has_ended = await self.lost(server, has_begun=has_begun)
        return Trouble.SILENT if has_ended else Trouble.FAILED

    async def lost(self, server: BackendServer, *, has_begun: bool) -> bool:
        """Note that a server broke the call off; tell whether the server has ended.

        Args:
            server: Where the call was under way.
            has_begun: Whether a part of its answer had come from there.
        """
        ends = self._routing.ends
        if not await ends.has_ended(server):
            if server.born_ms:
                # A later start would prove it; the others don't tell theirs apart.
                ends.doubt(self._end(server, has_begun=has_begun))
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

    def _end(self, server: BackendServer, *, has_begun: bool) -> End:
        """Return a server's end under the work, as this instance has seen it."""
        witness = self._routing.settings.instance.id
        return End(self.id, server.lifetime, has_begun, witness)

    def _note(
        self, server: BackendServer, *, has_begun: bool, together: int = 1
    ) -> None:
        """Note a server's end under the work, tell others, and log it."""
        self._routing.note_end(self._end(server, has_begun=has_begun))
        events.log(
            events.SERVER_ENDED,
            request_id=self._call.id,
            work=self.id,
            server_id=server.id,
            lifetime=server.lifetime,
            has_begun=has_begun,
            parts=self._call.prompt_parts[:_MAX_LOGGED_PARTS],
            ended_together=together,
            is_held=self.is_held,
        )

    def answered(self) -> None:
        """Note that it was answered whole."""
        if self._routing.suspects:
            self._routing.note_answered(self.id)
