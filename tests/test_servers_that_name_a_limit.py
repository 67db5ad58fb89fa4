# SPDX-License-Identifier: MIT
"""What a server that names a limit for all instances gets from all of them.

Two first runners of a played day were in need and named in their answers how many
requests a second they take from all instances together: 2.4 and 4.9. Nobody read that,
and each instance went on sending what its share of the load was: the first got 25
requests in 4 s from instances that it had told, the second 69, where 9 and 19 are what
they had asked for. The other first runners had room all the time.

The cause was twofold: the word was not read, so that arrivals went on as before it (8
in the second before, 3 to 11 in each after); and nothing counted what all instances
send, so that reading it alone would not have done: in front of a stand-in that takes
2.4 a second, one instance sent 50 and 99 in 4 s, six sent 294 and 299.
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


#: What the server takes a second, from all together.
LIMIT_A_S = 2.4
#: Over any span so long, in seconds, no more than that comes.
SPAN_S = 4.0
#: How long requests come after the word, in seconds.
LASTS_S = 6.0
#: From when on after the first word all have to keep to it, in seconds.
KNOWN_S = 1.0
#: How often requests come at each instance, in seconds; many for the limit.
EVERY_S = 0.04


@pytest.mark.parametrize("instances", [1, 6])
@pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
async def test_all_together_keep_to_it(path, instances):
    """All together send what the server takes of them; the other servers serve."""
    async with (
        servers_and_instances(preferred_servers(path), instance_count=instances) as (
            servers,
            machines,
        ),
        measure_loop_lag() as lag,
    ):
        join_instances(machines)
        await machines[0].ask(path=path)
        (limited,) = (one for one in servers if one.accepted)
        limited.limit_a_s = str(LIMIT_A_S)
        outcomes = await asyncio.gather(
            *(
                one.send_repeatedly(every_s=EVERY_S, for_s=LASTS_S, path=path)
                for one in machines
            )
        )
        arrived_s = limited.arrival_times(after_s=KNOWN_S, until_s=LASTS_S)
        most = max_within(arrived_s, SPAN_S - lag.max_s)
        assert most <= int(SPAN_S * LIMIT_A_S)
        assert all(one.end == "whole" for some in outcomes for one in some)
