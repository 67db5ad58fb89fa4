# SPDX-License-Identifier: MIT
"""Sends of instances to a server that requests a back-off.

A fixed cooldown of 0.3 s after each rejection, whatever a server requests, makes an
instance send to it again within the requested 3 s, 0.5 to 0.7 s apart: three or four
times, where two are allowed from half a second on.  Each costs the request a retry and
a round trip, while another zone's first runner, which rejects none, has capacity.
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


#: Requested back-off, in seconds.
BACKOFF_S = 1.2
#: Interval between requests, in seconds: many in each back-off.
INTERVAL_S = 0.02


@pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
async def test_backoff_is_followed(path):
    """No request reaches the server until its back-off expires; others serve them."""
    async with (
        servers_and_instances(preferred_servers(path), instance_count=2) as (
            servers,
            instances,
        ),
        measure_loop_lag() as lag,
    ):
        servers[0].retry_after = str(BACKOFF_S)
        outcomes = await asyncio.gather(
            *(
                instance.send_repeatedly(
                    every_s=INTERVAL_S, for_s=BACKOFF_S + 0.3, path=path
                )
                for instance in instances
            )
        )
        assert servers[0].first_signal_s is not None
        for instance in instances:
            repeated = servers[0].arrivals(
                after_s=IN_FLIGHT_S + lag.max_s,
                until_s=BACKOFF_S,
                machine=instance.name,
            )
            assert repeated == []
        assert all(
            response.end == "whole" for responses in outcomes for response in responses
        )


@pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
async def test_waiting_sends_follow_the_backoff(path):
    """Requests that wait for a connection are sent to another server instead."""
    async with (
        servers_and_instances(preferred_servers(path)) as (servers, (instance,)),
        measure_loop_lag() as lag,
    ):
        servers[0].retry_after = str(BACKOFF_S)
        delays_s = iter([0.0, *(0.55 + 0.02 * n for n in range(12))])

        def delay_s(address):
            return next(delays_s, 0.0) if address == servers[0].listed.address else 0.0

        for session in (instance.kept, instance.fresh):
            slow_connects(session, delay_s)
        outcomes = await asyncio.gather(*(instance.ask(path=path) for _ in range(13)))
        repeated = servers[0].arrivals(
            after_s=IN_FLIGHT_S + lag.max_s, until_s=BACKOFF_S
        )
        assert repeated == []
        assert all(response.end == "whole" for response in outcomes)
