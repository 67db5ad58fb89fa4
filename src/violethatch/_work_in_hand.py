# SPDX-License-Identifier: MIT
"""One call's work, and the servers that end while they have it."""

from __future__ import annotations

import functools

from . import events
from ._routing import Routing
from .backends import BackendServer
from .upstream import Call
from .work_ids import work_id


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
        call = self._call
        return work_id(
            caller=self._workspace,
            method=call.method,
            host=call.host,
            target=call.target,
            body=call.body,
        )

    async def lost(self, server: BackendServer, *, has_begun: bool) -> bool:
        """Note that a server broke the call off; tell whether the server has ended.

        Args:
            server: Where the call was under way.
            has_begun: Whether a part of its answer had come from there.
        """
        if not await self._routing.ends.has_ended(server):
            return False
        self._routing.count_end(server.lifetime)
        events.log(
            events.SERVER_ENDED,
            request_id=self._call.id,
            work=self.id,
            server_id=server.id,
            lifetime=server.lifetime,
            has_begun=has_begun,
        )
        return True
