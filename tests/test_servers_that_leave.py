# SPDX-License-Identifier: MIT
"""What a server that says in its answers that it leaves gets to see of an instance.

Servers say so in the head of each answer, before their entry in the list does, after
it, or without it. Only the list was read: an instance sent to such a server for as long
as the entry said that it was ready, also after the time within which all work for it
has to be there (4 to 28 of the requests of the test's second arrived after that).
"""

from __future__ import annotations

import asyncio

import pytest

from signaling_servers import (
    LEAVING_S,
    measure_loop_lag,
    preferred_servers,
    servers_and_instances,
)


@pytest.mark.parametrize("path", ["/draft/1", "/label/1"])
@pytest.mark.parametrize("turns_away", [False, True])
async def test_leaving_server_gets_nothing_more(path, turns_away):
    """Once an answer says so no request goes there, though the list says nothing."""
    async with (
        servers_and_instances(preferred_servers(path), instance_count=2) as (
            servers,
            machines,
        ),
        measure_loop_lag() as lag,
    ):
        servers[0].is_leaving = True
        servers[0].retry_after = "0" if turns_away else None
        outcomes = await asyncio.gather(
            *(
                one.send_repeatedly(every_s=0.02, for_s=1.0, path=path)
                for one in machines
            )
        )
        after_s = LEAVING_S + lag.max_s
        assert servers[0].arrivals(after_s=after_s, until_s=9.0) == []
        assert all(one.end == "whole" for some in outcomes for one in some)
