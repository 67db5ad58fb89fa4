# SPDX-License-Identifier: MIT
"""The order in which layers are loaded, and a replay of a fleet that returns empty."""

from __future__ import annotations

import itertools

import pytest

from violethatch._hosts import Host
from violethatch.layers import LayerRange
from violethatch.load_order import loading_order


LAYERS = 80


def chain(prefix, zone, *bounds):
    """Return hosts of a zone and their orders, that tile the model at *bounds*."""
    ends = (*bounds, LAYERS)
    starts = (0, *bounds)
    orders = {
        f"{prefix}{n}": LayerRange(first, end)
        for n, (first, end) in enumerate(zip(starts, ends, strict=True))
    }
    return [Host(one, zone, "large", None) for one in orders], orders


def fleet(*chains):
    """Return all hosts and orders of some chains, mixed as a plan may have them."""
    hosts = [host for hosts, _ in chains for host in hosts]
    rounds = itertools.zip_longest(*(orders.items() for _, orders in chains))
    orders = dict(one for step in rounds for one in step if one is not None)
    return hosts, orders


def in_order(hosts, orders):
    """Return the loading order."""
    return loading_order(orders, hosts, layer_count=LAYERS)


class TestLoadingOrder:
    def test_each_runner_once(self):
        """Nothing is left out and nothing comes twice."""
        hosts, orders = fleet(chain("a", "z1", 20, 50), chain("b", "z2", 40))
        assert sorted(in_order(hosts, orders)) == sorted(orders)

    def test_chains_come_whole(self):
        """Guards against chains that are all loaded in part."""
        hosts, orders = fleet(chain("a", "z1", 20, 50), chain("b", "z1", 30, 60))
        first = in_order(hosts, orders)[:3]
        assert sorted(orders[one] for one in first)[0].first == 0
        assert max(orders[one].end for one in first) == LAYERS

    def test_one_chain_of_each_zone_first(self):
        """A zone's second chain waits for the other zones' first ones."""
        hosts, orders = fleet(
            chain("a", "z1", 40), chain("b", "z1", 40), chain("c", "z2", 40)
        )
        assert {one[0] for one in in_order(hosts, orders)[:4]} >= {"c"}

    def test_zone_that_loads_quickly_is_first(self):
        """The first chain is the one whose longest load is shortest."""
        hosts, orders = fleet(chain("a", "z1", 40), chain("b", "z2", 20, 40, 60))
        assert {one[0] for one in in_order(hosts, orders)[:4]} == {"b"}

    def test_what_is_held_is_not_waited_for(self):
        """Orders that complete a chain with what others hold come first."""
        hosts, orders = fleet(chain("a", "z1", 20, 40, 60), chain("b", "z2", 60))
        hosts.append(Host("held", "z2", "large", LayerRange(0, 60)))
        del orders["b0"]
        assert in_order(hosts, orders)[0] == "b1"

    def test_zones_that_hold_the_model_together(self):
        """Zones too small for the model make a chain across them."""
        hosts, orders = fleet(chain("a", "z1", 40), chain("b", "z2", 40))
        del orders["a1"], orders["b0"]
        assert sorted(in_order(hosts, orders)) == ["a0", "b1"]

    def test_orders_that_complete_no_chain_are_last(self):
        """Copies don't delay a chain."""
        hosts, orders = fleet(chain("a", "z1", 40), chain("b", "z1", 40))
        del orders["b1"]
        assert len(in_order(hosts, orders)) == 3
        assert orders[in_order(hosts, orders)[2]] == LayerRange(0, 40)


def first_path_s(order, orders, *, at_once, load_s, is_in_waves):
    """Return when the first chain is loaded, where loads beyond some slow down all.

    Args:
        order: The ids in the order in which they are begun.
        orders: By id, the range.
        at_once: How many loads run at full rate.
        load_s: How long the whole model takes at full rate.
        is_in_waves: Whether no more than *at_once* are begun.
    """
    step_s = 0.01
    waiting = list(order)
    running = {}
    held = []
    for step in itertools.count():
        while waiting and (not is_in_waves or len(running) < at_once):
            one = waiting.pop(0)
            running[one] = load_s * orders[one].size / LAYERS
        rate = min(1.0, at_once / len(running)) if running else 0.0
        running = {one: left - step_s * rate for one, left in running.items()}
        held += [orders[one] for one, left in running.items() if left <= 0.0]
        running = {one: left for one, left in running.items() if left > 0.0}
        reached = 0
        for layers in sorted(held):
            if layers.first <= reached:
                reached = max(reached, layers.end)
        if reached == LAYERS:
            return step * step_s
    return None


class TestReturnReplay:
    @pytest.mark.parametrize("chains", [3, 9, 30])
    def test_first_chain_waits_for_no_other(self, chains):
        """Guards against an outage that grows with the runners that return empty."""
        bounds = range(8, LAYERS, 8)
        hosts, orders = fleet(
            *(chain(f"{n}/", f"z{n % 3}", *bounds) for n in range(chains))
        )
        figures = {"at_once": 5, "load_s": 14.0}
        waves_s = first_path_s(
            in_order(hosts, orders), orders, is_in_waves=True, **figures
        )
        together_s = first_path_s(list(orders), orders, is_in_waves=False, **figures)
        # One model at the rate of the store of weights, and a last load beside others.
        assert waves_s <= 14.0 / 5 + 14.0 / 10 + 0.1
        assert together_s >= 0.9 * chains * 14.0 / 5
