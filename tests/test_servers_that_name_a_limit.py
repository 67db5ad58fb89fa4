# SPDX-License-Identifier: MIT
"""Sends of all instances together to a server that advertises a rate limit.

Instances that ignore the limit keep sending their share of the load: 25 and 69 requests
in 4 s, where limits of 2.4 and 4.9 a second permit 9 and 19, while other first runners
have capacity.  Reading it is not enough without a count over all instances: at 2.4 a
second, one instance sends 50 and 99 requests in 4 s, six send 294 and 299.
"""

from __future__ import annotations

import asyncio

import pytest

from signaling_servers import (
    join_instances,
    max_within,
    measure_loop_lag,
    preferred_servers,
    servers_and_instances,
)


#: The server's limit for all instances together, in requests a second.
LIMIT_PER_S = 2.4
#: Length of the window in which the limit must not be exceeded, in seconds.
WINDOW_S = 4.0
#: Duration of the load after the limit is advertised, in seconds.
DURATION_S = 6.0
#: Time within which all instances must enforce the limit, in seconds.
NOTIFIED_WITHIN_S = 1.0
#: Interval between requests at each instance, in seconds: well above the limit.
INTERVAL_S = 0.04


@pytest.mark.parametrize("count", [1, 6])
@pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
async def test_total_stays_within_the_limit(path, count):
    """All instances together stay within the limit; other servers serve the rest."""
    async with (
        servers_and_instances(preferred_servers(path), instance_count=count) as (
            servers,
            instances,
        ),
        measure_loop_lag() as lag,
    ):
        join_instances(instances)
        await instances[0].ask(path=path)
        (limited,) = (server for server in servers if server.accepted)
        limited.limit_a_s = str(LIMIT_PER_S)
        outcomes = await asyncio.gather(
            *(
                instance.send_repeatedly(
                    every_s=INTERVAL_S, for_s=DURATION_S, path=path
                )
                for instance in instances
            )
        )
        arrivals_s = limited.arrival_times(
            after_s=NOTIFIED_WITHIN_S, until_s=DURATION_S
        )
        max_arrivals = max_within(arrivals_s, WINDOW_S - lag.max_s)
        assert max_arrivals <= int(WINDOW_S * LIMIT_PER_S)
        assert all(
            response.end == "whole" for responses in outcomes for response in responses
        )
