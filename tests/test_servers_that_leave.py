# SPDX-License-Identifier: MIT
"""Sends of an instance to a server that reports its shutdown in its responses.

Servers report it in the headers of each response, before their list entry does, after
it, or without it.  An instance that only reads the list keeps sending while the entry
is ready: 4 to 28 requests in a second arrive after the grace period for work.
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
@pytest.mark.parametrize("is_rejecting", [False, True])
async def test_leaving_server_gets_no_requests(path, is_rejecting):
    """No request is sent after the first such response, whatever the list says."""
    async with (
        servers_and_instances(preferred_servers(path), instance_count=2) as (
            servers,
            instances,
        ),
        measure_loop_lag() as lag,
    ):
        servers[0].is_leaving = True
        servers[0].retry_after = "0" if is_rejecting else None
        outcomes = await asyncio.gather(
            *(
                instance.send_repeatedly(every_s=0.02, for_s=1.0, path=path)
                for instance in instances
            )
        )
        after_s = LEAVING_S + lag.max_s
        assert servers[0].arrivals(after_s=after_s, until_s=9.0) == []
        assert all(
            response.end == "whole" for responses in outcomes for response in responses
        )
