# SPDX-License-Identifier: MIT
"""Keeping the configuration over a table that misbehaves."""

from __future__ import annotations

import random

import pytest

from test_keyed import FakeTable
from violethatch._config import HEAD_KEY, MARK_KEY, ConfigKeeper
from violethatch.errors import (
    ConfirmUnknownError,
    StalePlanError,
    TableUnavailableError,
)


def intent(name):
    """Return an intent that adds a service."""
    return {"set": {"services": {name: {"repeatable": False}}}}


def make_keeper(table):
    """Return a keeper without peers."""

    async def push(encoded):
        return None

    async def fetch():
        return None

    return ConfigKeeper(
        table,
        poll_interval_s=1.0,
        rng=random.Random(1),
        on_applied=lambda revision: None,
        push=push,
        fetch=fetch,
    )


async def confirm(keeper, name):
    """Plan and confirm an intent."""
    plan = keeper.plan(intent(name))
    return await keeper.confirm(
        {
            "intent": intent(name),
            "base_revision": plan["base_revision"],
            "digest": plan["digest"],
        }
    )


class TestConfirm:
    async def test_lost_answer_of_an_accepted_revision(self):
        """The write is found to be one's own, and the operator is told yes."""
        keeper = make_keeper(FakeTable("lost"))
        assert (await confirm(keeper, "a"))["revision"] == 1

    async def test_delayed_write_is_settled_by_writing_again(self):
        """A write that lands late does no harm after its repetition."""
        table = FakeTable("late", "ok")
        keeper = make_keeper(table)
        await confirm(keeper, "a")
        table.land()
        assert table.rows[HEAD_KEY].version == 1

    async def test_loser_is_told_stale(self):
        """Of two keepers that planned on the same revision one wins."""
        table = FakeTable()
        one, two = make_keeper(table), make_keeper(table)
        plan = two.plan(intent("b"))
        await confirm(one, "a")
        with pytest.raises(StalePlanError):
            await two.confirm(
                {"intent": intent("b"), "base_revision": 0, "digest": plan["digest"]}
            )
        assert two.current == one.current

    async def test_accepted_then_followed_is_not_called_stale(self):
        """After a lost answer, a later revision in the way proves nothing."""
        table = FakeTable("lost")
        one, two = make_keeper(table), make_keeper(table)
        transact = table.transact

        async def transact_and_follow(puts):
            table.transact = transact
            try:
                return await transact(puts)
            finally:
                await two._read_head()
                await confirm(two, "b")

        table.transact = transact_and_follow
        with pytest.raises(ConfirmUnknownError):
            await confirm(one, "a")
        assert set(one.current["document"]["services"]) == {"a", "b"}

    async def test_table_out(self):
        """Refused; nothing has changed here or there."""
        table = FakeTable("out")
        keeper = make_keeper(table)
        with pytest.raises(TableUnavailableError):
            await confirm(keeper, "a")
        assert (keeper.revision, table.rows) == (0, {})


class TestFollow:
    async def test_unchanged_revision_is_not_read_again(self):
        """A look at the table costs the small row only."""
        table = FakeTable()
        keeper = make_keeper(table)
        await confirm(keeper, "a")
        read = table.read
        asked = []

        async def recorded(keys):
            asked.extend(keys)
            return await read(keys)

        table.read = recorded
        await keeper._follow_table()
        assert asked == [MARK_KEY]

    async def test_older_table_is_repaired(self):
        """A restored table gets the revision back, and nothing reverts."""
        table = FakeTable()
        keeper = make_keeper(table)
        await confirm(keeper, "a")
        old = dict(table.rows)
        await confirm(keeper, "b")
        table.rows = old
        await keeper._follow_table()
        assert keeper.revision == 2
        assert table.rows[HEAD_KEY].value["revision"] == 2
        assert table.rows[MARK_KEY].value["revision"] == 2

    async def test_malformed_offers_change_nothing(self):
        """A peer's garbage, or a digest that does not fit, is ignored."""
        keeper = make_keeper(FakeTable())
        await confirm(keeper, "a")
        forged = keeper.encoded().replace(b'"revision":1', b'"revision":9')
        forged = forged.replace(b'"repeatable":false', b'"repeatable":true')
        for encoded in (b"", b"{}", b"\xff", forged):
            await keeper.take_encoded(encoded)
        assert keeper.revision == 1
