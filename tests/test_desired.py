# SPDX-License-Identifier: MIT
"""The desired state: routes, splits and keys."""

from __future__ import annotations

import pytest

from routing_samples import call_route, desired_state
from violethatch.desired import Split
from violethatch.errors import UnauthorizedError, UnknownTargetError


def admit(state, *, path="/draft/1", key="key-1", host="menu.example", call_id="c"):
    """Admit a call."""
    return state.admit(host=host, path=path, key=key, call_id=call_id)


class TestRoutes:
    def test_longest_prefix_wins(self):
        """Of the prefixes that fit, the longest is the route."""
        state = desired_state(
            call_route(name="short", path_prefix="/"),
            call_route(name="long", path_prefix="/draft/menu/"),
            call_route(name="middle", path_prefix="/draft/"),
        )
        paths = {"/x": "short", "/draft/x": "middle", "/draft/menu/x/y": "long"}
        for path, name in paths.items():
            assert admit(state, path=path).route.name == name

    def test_prefix_ends_with_its_slash(self):
        """A path that only begins with the same letters is another one."""
        with pytest.raises(UnknownTargetError):
            admit(desired_state(), path="/drafts/1")

    def test_query_is_no_path(self):
        """A slash in the query does not count."""
        with pytest.raises(UnknownTargetError):
            admit(desired_state(), path="/other?next=/draft/")

    def test_host_counts(self):
        """Another host has other routes."""
        with pytest.raises(UnknownTargetError):
            admit(desired_state(), host="other.example")

    def test_split_follows_weights_and_call(self):
        """A call keeps its service; many calls are split by weight."""
        route = call_route(splits=(Split("model", 90), Split("labels", 10)))
        services = [route.service_of(f"call-{n}") for n in range(2000)]
        assert services == [route.service_of(f"call-{n}") for n in range(2000)]
        assert 0.07 < services.count("labels") / 2000 < 0.13


class TestKeys:
    @pytest.mark.parametrize("key", [None, "other"])
    def test_missing_or_unknown_key(self, key):
        """Without a known key the call is refused."""
        with pytest.raises(UnauthorizedError):
            admit(desired_state(), key=key)

    def test_exempt_route_needs_none(self):
        """An exempt route takes calls without a key."""
        state = desired_state(call_route(is_key_exempt=True))
        assert admit(state, key=None).workspace is None

    def test_no_keys_declared(self):
        """Where no workspace is declared, no key is needed."""
        assert admit(desired_state(keys=None), key=None).workspace is None

    @pytest.mark.parametrize("key", [None, "", "key-1", "never-given"])
    def test_workspaces_without_keys_let_nobody_in(self, key):
        """Once the last key was taken away, every call was admitted."""
        with pytest.raises(UnauthorizedError):
            admit(desired_state(keys=()), key=key)

    def test_exempt_route_where_all_keys_are_gone(self):
        state = desired_state(call_route(is_key_exempt=True), keys=())
        assert admit(state, key="key-1").workspace is None

    def test_unknown_route_comes_before_the_key(self):
        """A path without a route is unknown, whatever the key."""
        with pytest.raises(UnknownTargetError):
            admit(desired_state(), path="/none", key=None)

    def test_workspace_priority_goes_first(self):
        """The workspace's priority comes before the route's."""
        assert admit(desired_state()).priority == 0
        exempt = desired_state(call_route(is_key_exempt=True))
        assert admit(exempt, key=None).priority == 1
