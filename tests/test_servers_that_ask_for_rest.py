# SPDX-License-Identifier: MIT
"""What a server that asks for rest gets to see of an instance.

Two first runners of a played day turned everything away for nine seconds, and asked
each time for three seconds of rest. Nobody read that: a refusal for want of room let a
server rest for 0.3 s, whatever it asked for, so that each instance sent to it again,
0.5 to 0.7 s apart (lines of one instance: refused at 6.155, 6.849, 7.539, 8.143 and
8.778 s). Two sends in the time asked for are allowed, from half a second on; there were
four at one instance and three at another. Each cost its request a retry and a way there
and back, while the third zone's first runner, which refused none, had room.
"""

from __future__ import annotations

import asyncio

import pytest

from signaling_servers import (
    IN_FLIGHT_S,
    measure_loop_lag,
    preferred_servers,
    servers_and_instances,
    slow_connects,
)


#: What the server asks for, in seconds.
REST_S = 1.2
#: How often requests come, in seconds; many in each rest.
EVERY_S = 0.02


@pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
async def test_rest_is_kept(path):
    """Nothing reaches the server until its rest is over; the others serve."""
    async with (
        servers_and_instances(preferred_servers(path), instance_count=2) as (
            servers,
            machines,
        ),
        measure_loop_lag() as lag,
    ):
        servers[0].retry_after = str(REST_S)
        outcomes = await asyncio.gather(
            *(
                one.send_repeatedly(every_s=EVERY_S, for_s=REST_S + 0.3, path=path)
                for one in machines
            )
        )
        assert servers[0].first_signal_s is not None
        for one in machines:
            again = servers[0].arrivals(
                after_s=IN_FLIGHT_S + lag.max_s, until_s=REST_S, machine=one.name
            )
            assert again == []
        assert all(one.end == "whole" for some in outcomes for one in some)


@pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
async def test_sends_that_wait_keep_to_the_rest(path):
    """What was decided before the word and waits for a connection goes elsewhere."""
    async with (
        servers_and_instances(preferred_servers(path)) as (servers, (machine,)),
        measure_loop_lag() as lag,
    ):
        servers[0].retry_after = str(REST_S)
        waits_s = iter([0.0, *(0.55 + 0.02 * n for n in range(12))])

        def wait_s(address):
            return next(waits_s, 0.0) if address == servers[0].listed.address else 0.0

        for session in (machine.kept, machine.fresh):
            slow_connects(session, wait_s)
        outcomes = await asyncio.gather(*(machine.ask(path=path) for _ in range(13)))
        again = servers[0].arrivals(after_s=IN_FLIGHT_S + lag.max_s, until_s=REST_S)
        assert again == []
        assert all(one.end == "whole" for one in outcomes)
