# SPDX-License-Identifier: MIT
"""Streams of one instance in a replay, of which something stops some."""

from __future__ import annotations

import asyncio
import random

from router_fakes import FakeAnswer, FakeResponder, admitted, make_call
from router_fakes import settings as router_settings
from routing_samples import call_route
from violethatch import clocks
from violethatch._routing import Routing
from violethatch.streams import StreamCall


#: When something happens, in seconds after the last stream began.
DISTURBED_AT_S = 1.0


class ReplayedAnswer(FakeAnswer):
    """The answer to a run of a stream, from its next event on.

    Args:
        fleet: The runners.
        send: What was sent.
    """

    def __init__(self, fleet, send):
        super().__init__()
        self.fleet = fleet
        self.call_id = send.call.id
        self.path = send.path
        self.first = (send.last_event_id or 0) + 1


def deployed_policy():
    """Return the policy's defaults, and no retries that other instances would add."""
    return type(router_settings().policy)()


async def serve_streams(
    fleet, runners, disturb, *, streams, timeout_s, is_resumable=True, seed=1
):
    """Serve streams while something happens; return their responders.

    Args:
        fleet: The client of the runners.
        runners: The runners that are listed.
        disturb: Called with the fleet once all streams are under way.
        streams: How many streams there are.
        timeout_s: How long their callers wait, in seconds.
        is_resumable: Whether they may be resumed.
        seed: The seed of the instance.
    """
    routing = Routing(router_settings(), fleet, random.Random(seed))
    routing.apply_settings(routing.settings._replace(policy=deployed_policy()))
    routing.backends.apply_changes(runners, [], now_s=clocks.now_s())
    allowed = admitted(call_route(is_resumable=is_resumable))
    got, calls = [], []
    for number in range(streams):
        responder = FakeResponder()
        call = make_call(id=f"c{number}", timeout_s=timeout_s)
        stream = StreamCall(routing, call, allowed)
        got.append(responder)
        calls.append(asyncio.create_task(stream.serve(responder)))
        await asyncio.sleep(0.01)
    await asyncio.sleep(DISTURBED_AT_S)
    disturb(fleet)
    await asyncio.gather(*calls)
    return got
