# SPDX-License-Identifier: MIT
"""A request that ends each server which runs it comes again and again.

On a day with 8 instances such a request was sent to servers six times more after three
had ended under it, at whichever instance it came next; ten servers ended, and with each
the 12 to 73 requests that it had.  Each send was judged for itself: a server that broke
an answer was left alone, and the request was forgotten.  Instances told each other of
servers, never of requests.  The lines that showed it, at one instance and then another:

    edge-bdg-1 2107 server_trouble request_id=c9adf641 server_id=i-79b4fc6899
      trouble=failed reason=the answer broke off
    edge-bdg-1 2203 request_failed request_id=c9adf641 code=1301
      reason=the runners' answer was lost

Its run had ended 48 ms after the server began it, and the next one came 27 s later to
edge-jkt-3, where two more servers ended under it.
"""

from __future__ import annotations

import asyncio

import pytest

from mortal_fleet import DEADLY, Fleet, Servers, label_server, model_runner


#: How many ends under a request are enough to know it, and how often it may reach
#: servers after these.
ENDS = 3
MOST_AFTER = 3
#: How long the word of an end may take to all instances, in seconds.
TOLD_S = 0.1
#: How often the request comes again, and the pause between, in seconds.
RETURNS = 14
PAUSE_S = 0.12


async def come_again(fleet, *, path):
    """Send the deadly request again and again, to one router after another."""
    for number in range(RETURNS):
        router = fleet.routers[number % len(fleet.routers)]
        await fleet.ask(router, path=path, body=DEADLY, id=f"c{number}")
        await asyncio.sleep(PAUSE_S)


def arrivals_after(servers):
    """Return how often it reached servers after all could know it."""
    if len(servers.ended_s) < ENDS:
        return 0
    known_s = servers.ended_s[ENDS - 1] + TOLD_S
    return sum(at_s > known_s for at_s in servers.arrived_s)


@pytest.mark.parametrize("instances", [1, 6])
@pytest.mark.parametrize(
    ("path", "make"), [("/draft/1", model_runner), ("/label/1", label_server)]
)
async def test_request_that_ends_servers_is_held_back(path, make, instances):
    """After three ends it reaches hardly any server, wherever it comes again."""
    servers = Servers(make)
    fleet = Fleet(instances, servers)
    await come_again(fleet, path=path)
    assert arrivals_after(servers) <= MOST_AFTER
