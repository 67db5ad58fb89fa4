# SPDX-License-Identifier: MIT
"""Intents, plans and revisions."""

from __future__ import annotations

import json

import pytest

from hypothesis import given, settings
from hypothesis import strategies as st

from violethatch import Offer, accept, compare, make_plan
from violethatch.errors import BadIntentError, StalePlanError
from violethatch.revisions import (
    NO_REVISION,
    document_digest,
    parse_confirmation,
    parse_intent,
    parse_revision,
)


SERVICE = {"set": {"services": {"labels": {"repeatable": False}}}}


def confirm(current, intent, *, op_id="op"):
    """Plan and accept an intent."""
    plan = make_plan(current, intent)
    confirmation = {
        "intent": intent,
        "base_revision": plan["base_revision"],
        "digest": plan["digest"],
    }
    return accept(current, confirmation, op_id=op_id)


class TestPlan:
    def test_names_each_change(self):
        """Additions, changes and removals are told in words."""
        first = confirm(NO_REVISION, SERVICE)
        intent = {
            "set": {"services": {"labels": {"repeatable": True}}},
        }
        texts = [change["text"] for change in make_plan(first, intent)["changes"]]
        assert texts == ["change service labels: repeatable False -> True"]
        removal = {"remove": {"services": ["labels"]}}
        texts = [change["text"] for change in make_plan(first, removal)["changes"]]
        assert texts == ["remove service labels"]

    def test_nothing_changes(self):
        """An intent that is in force already has an empty plan."""
        first = confirm(NO_REVISION, SERVICE)
        assert make_plan(first, SERVICE)["changes"] == []


class TestAccept:
    def test_revision_grows_by_one(self):
        """Each acceptance is the next revision."""
        first = confirm(NO_REVISION, SERVICE)
        assert confirm(first, {})["revision"] == first["revision"] + 1 == 2

    def test_stale_base(self):
        """A plan from an earlier revision is refused."""
        plan = make_plan(NO_REVISION, SERVICE)
        first = confirm(NO_REVISION, SERVICE)
        stale = {"intent": {}, "base_revision": 0, "digest": plan["digest"]}
        with pytest.raises(StalePlanError, match="now at 1"):
            accept(first, stale, op_id="op")

    def test_other_digest(self):
        """A confirmation of something else than was shown is refused."""
        wrong = {"intent": SERVICE, "base_revision": 0, "digest": "0" * 64}
        with pytest.raises(StalePlanError, match="another configuration"):
            accept(NO_REVISION, wrong, op_id="op")


class TestCompare:
    def test_only_higher_is_newer(self):
        """Order is by number; one number with two contents is a fork."""
        first = confirm(NO_REVISION, SERVICE)
        other = {**first, "digest": "x"}
        assert compare(NO_REVISION, first) is Offer.NEWER
        assert compare(first, NO_REVISION) is Offer.OLDER
        assert compare(first, dict(first)) is Offer.SAME
        assert compare(first, other) is Offer.FORKED


class TestParsers:
    @given(data=st.binary(max_size=200))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_bytes(self, data):
        """Bytes are an intent or a coded error, never a traceback."""
        for parse in (parse_intent, parse_confirmation):
            try:
                parse(data)
            except BadIntentError as error:
                assert error.code == 1501

    @given(
        value=st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=8),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["set", "remove", "models", "services", "a"]),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=12,
        )
    )
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_json(self, value):
        """JSON of any shape plans or is refused with a code."""
        try:
            make_plan(NO_REVISION, parse_intent(json.dumps(value)))
        except BadIntentError as error:
            assert error.code == 1501

    def test_revision_round_trip(self):
        """What the table holds is read back as it was."""
        first = confirm(NO_REVISION, SERVICE)
        assert parse_revision(json.loads(json.dumps(first))) == first

    def test_digest_ignores_order(self):
        """The same content has the same digest."""
        one = confirm(NO_REVISION, SERVICE)["document"]
        two = dict(reversed(list(one.items())))
        assert document_digest(one) == document_digest(two)
