# SPDX-License-Identifier: MIT
"""The lease of the placement duty over a store that is restored from a copy."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from violethatch import clocks
from violethatch._placement_lease import LeaseWrite, PlacementLease
from violethatch.leases import EPOCHS_PER_RESTORE, Lease
from violethatch.ports import Row
from violethatch.router_settings import RouterPolicySection
from violethatch.store_era import StoreEra


KEY = "placement"
DURATION_S = 4.0


def lease(holder, *, era=1):
    """Return a process's view of the lease."""
    made = Lease(row_key=KEY, holder=holder, duration_s=DURATION_S, margin_s=1.0)
    made.era = era
    return made


class Store:
    """Keeps the row, under versions from one counter."""

    def __init__(self):
        self.row = None
        self.version = 10

    def write(self, put):
        """Write under the condition; return the version, or None."""
        if put.if_version != (self.row.version if self.row else 0):
            return None
        self.version += 1
        self.row = Row(KEY, self.version, dict(put.value))
        return self.version

    def restore(self, copy):
        """Go back to a row and a version."""
        self.row, self.version = copy


def step(one, store, now_s):
    """Let a process observe the row and write what is due."""
    one.observe(store.row, now_s=now_s)
    put = one.wanted_write(now_s=now_s)
    if put is None:
        return
    version = store.write(put)
    if version is not None:
        one.written(put, sent_s=now_s, version=version)


class TestLease:
    def test_copy_without_the_grant_gives_its_epoch_out_again(self):
        """The next epoch is above all that can have been lost."""
        store, first, second = Store(), lease("a"), lease("b")
        step(first, store, 0.0)
        store.write(first.resigned())
        copy = (store.row, store.version)
        for number in range(5):
            step(lease(f"x{number}"), store, 0.1)
            store.write(lease_of(store).resigned())
        lost = store.row.value["epoch"]
        store.restore(copy)
        second.restored(2)
        step(second, store, 10.0)
        assert second.held_epoch(now_s=10.0) is None
        step(second, store, 10.0 + DURATION_S)
        assert lost < second.held_epoch(now_s=14.0) <= lost + EPOCHS_PER_RESTORE

    def test_row_that_the_copy_lacks_is_taken_at_once(self):
        """Its holder may still give orders: a takeover waits for the whole lease."""
        store, first, second = Store(), lease("a"), lease("b")
        step(first, store, 0.0)
        store.restore((None, 5))
        second.restored(2)
        step(second, store, 1.0)
        assert second.held_epoch(now_s=1.0) is None
        epoch = first.held_epoch(now_s=1.0)
        step(second, store, 1.0 + DURATION_S)
        assert second.held_epoch(now_s=5.0) > epoch
        assert first.held_epoch(now_s=5.0) is None

    def test_process_that_starts_after_the_restore_repeats_an_epoch(self):
        """Without a row its first epoch is above those of the era before."""
        store, first = Store(), lease("a", era=1)
        step(first, store, 0.0)
        store.restore((None, 5))
        late = lease("late", era=2)
        step(late, store, 1.0)
        assert late.held_epoch(now_s=1.0) > first.held_epoch(now_s=1.0)

    def test_renewal_under_a_version_that_was_given_out_again(self):
        """A holder renews only what it has seen in the store's era."""
        store, holder = Store(), lease("a")
        step(holder, store, 0.0)
        holder.restored(2)
        assert holder.wanted_write(now_s=1.0) is None
        assert holder.held_epoch(now_s=1.0) is None

    def test_copy_with_the_latest_renewal_keeps_the_lease(self):
        """The holder goes on from when it was confirmed."""
        store, holder = Store(), lease("a")
        step(holder, store, 0.0)
        epoch = holder.held_epoch(now_s=0.0)
        holder.restored(2)
        step(holder, store, 1.0)
        assert holder.held_epoch(now_s=1.0) == epoch

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.sampled_from(["step", "resign", "copy", "restore"]),
                st.floats(0.0, 2.0),
            ),
            max_size=60,
        )
    )
    def test_two_holders_after_restores(self, moves):
        """Nobody's epoch is held twice, however the store goes back."""
        store, now_s, era = Store(), 0.0, 1
        made = {name: lease(name) for name in "abc"}
        copy = (None, 10)
        for name, move, wait_s in moves:
            now_s += wait_s
            if move == "copy":
                copy = (store.row, store.version)
            elif move == "restore":
                store.restore(copy)
                era += 1
                for one in made.values():
                    one.restored(era)
            elif move == "resign":
                put = made[name].resigned()
                if put is not None:
                    store.write(put)
            else:
                step(made[name], store, now_s)
            held = [one.held_epoch(now_s=now_s) for one in made.values()]
            epochs = [epoch for epoch in held if epoch is not None]
            assert len(epochs) <= 1


def lease_of(store):
    """Return a view that holds what the store's row says."""
    made = lease(store.row.value["holder"])
    made.observe(store.row, now_s=0.0)
    made._confirmed_s = 0.0
    return made


class AbaStore:
    """Is restored while a write is under way, to a row at the version written under."""

    def __init__(self, era):
        self.era = era
        self.row = None
        self.is_restoring = False

    async def read_row(self, _key):
        return self.row

    async def write_row(self, put):
        if self.is_restoring:
            self.era.observe(2, source="store")
        self.row = Row(KEY, 50, dict(put.value))
        return LeaseWrite(True, 50)


class TestPlacementLease:
    async def test_write_that_met_a_version_given_out_again(self):
        """A renewal that the next era has answered gives no right to orders."""
        era = StoreEra()
        era.observe(1, source="store")
        store = AbaStore(era)
        made = PlacementLease(
            store,
            holder="a",
            policy=RouterPolicySection(),
            rng=random.Random(1),
            era=era,
        )
        assert await made.hold(clocks.now_s())
        store.is_restoring = True
        late_s = clocks.now_s() + RouterPolicySection().lease_duration_s / 2
        await made.renew(late_s)
        assert not made.is_held
