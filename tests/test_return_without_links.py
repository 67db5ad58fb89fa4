# SPDX-License-Identifier: MIT
"""All instances start at once; those of one zone have no links to backend servers."""

from __future__ import annotations

import pytest

from linked_fleet import RESET, STREAM_PATH, LinkedFleet
from test_zone_without_links import LEAST_SERVED, LOST_S, OTHERS, ZONE, call_all


CALLS_S = 2.0


class PartlyLinkedFleet(LinkedFleet):
    """A fleet whose instances of one zone start without links."""

    async def _start_instance(self, name, zone):
        """Start an instance; its links are cut before it has read its settings."""
        await super()._start_instance(name, zone)
        if zone == ZONE[0]:
            self.instances[-1].cut(RESET)


@pytest.fixture
async def fleet(tmp_path):
    """Provide a fleet whose instances are all ready."""
    made = PartlyLinkedFleet(tmp_path, zones=ZONE + OTHERS)
    await made.start()
    yield made
    await made.stop()


async def test_instances_that_never_had_links_ask_their_own_zone(fleet):
    """Guards against newcomers that find nobody with links: they know no loads yet."""
    started = fleet.instances[: len(ZONE)]
    await call_all(fleet, started, path=STREAM_PATH, for_s=LOST_S)
    tries = await call_all(fleet, started, path=STREAM_PATH, for_s=CALLS_S)
    served = sum(one.status == 200 for one in tries) / len(tries)
    assert served >= LEAST_SERVED
