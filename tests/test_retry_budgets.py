# SPDX-License-Identifier: MIT
"""Retry budgets of an instance that other instances grant retries."""

from __future__ import annotations

import virtual_time

from router_fakes import settings
from violethatch import clocks
from violethatch._retry_budgets import RetryBudgets


def exhausted_budgets():
    """Return budgets without retries, and the requests to other instances."""
    budgets = RetryBudgets(settings(retry_part=0), is_usable=lambda _service: True)
    budgets.budget("model").own_budget.balance = 0.0
    requested = []

    async def request(service):
        requested.append(clocks.now_s())
        return False

    budgets.request_retries = request
    return budgets, requested


@virtual_time.in_virtual_time
async def test_path_is_searched_without_a_retry():
    """A stream that just got no retry needs no path for another run."""
    budgets, requested = exhausted_budgets()
    assert not budgets.is_exhausted("model")
    assert not await budgets.acquire_retry("model")
    assert budgets.is_exhausted("model")
    assert len(requested) == 1


@virtual_time.in_virtual_time
async def test_granted_retry_is_used_at_once():
    """Retries that come in the meantime count."""
    budgets, _ = exhausted_budgets()
    await budgets.acquire_retry("model")
    budgets.receive_retries("model", 1.0)
    assert not budgets.is_exhausted("model")
    assert await budgets.acquire_retry("model")
