# SPDX-License-Identifier: MIT
"""Following a table of the store, through outages and lost history."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

from collections.abc import Awaitable, Callable

from . import clocks, events
from .backends import StoreOutage
from .errors import TableUnavailableError
from .freshness import Freshness, StoreClock
from .router_settings import StoreSection
from .store_era import NO_ERA, TableState
from .table_cache import NEVER, TableCache
from .upstream import HistoryGoneError, TableSource, TableView


#: Parts of the pause between retries that are drawn from, so that instances
#: don't ask all at once.
_PAUSE_PARTS = (0.75, 1.5)
#: The longest pause between retries, in seconds, before it is drawn out: a store that
#: recovers is found while its servers write their entries again.  Pauses double up to
#: it, so as not to press a store that refuses.
_LONGEST_PAUSE_S = 0.8
#: The least time between two reads of which the first brought nothing, in pauses
#: after changes.  A store that forgot its history was read 1,400 times in 2 s by six
#: instances, since it did not wait with its answers.
_IDLE_PAUSES = 2.0


class TableFollower:
    """Keeps up with one table and with the age of what it knows.

    Args:
        table: The table's name.
        source: Where it is read.
        settings: How often it is asked.
        clock: Maps the store's clock; shared by all followers.
        freshness: Told of each proof.
        take: Takes rows in; its flag says that they are the whole table.  What it
            returns is awaited before the rows count as proven.
        on_recovery: Called with an outage of the store when it is over.
        cache: Keeps the table for other instances.
        first_pause_s: How long to wait after the first read of the whole table, in
            seconds, until it is known who follows whom.
        rng: Spreads the retries of many instances.
    """

    def __init__(
        self,
        table: str,
        *,
        source: TableSource,
        settings: StoreSection,
        clock: StoreClock,
        freshness: Freshness,
        take: Callable[[TableView, bool], Awaitable[None] | None],
        on_recovery: Callable[[StoreOutage], None],
        rng: random.Random,
        cache: TableCache | None = None,
        first_pause_s: float = 0.0,
    ) -> None:
        self.table = table
        self.settings = settings
        self._source = source
        self._clock = clock
        self._freshness = freshness
        self._take = take
        self._on_recovery = on_recovery
        self._rng = rng
        self._version: int | None = None
        self._era = NO_ERA
        self._proof_source: str | None = None
        self._is_unavailable = False
        self._cache = cache or TableCache()
        self._first_pause_s = first_pause_s
        #: The latest pause before a retry, in seconds; 0 while reads are answered.
        self._pause_s = 0.0
        #: When the latest read was begun, in monotonic seconds.
        self._read_began_s = 0.0
        #: When the latest failed read of the store itself began, in monotonic seconds.
        #: A read through other instances also fails after the store has recovered.
        self._unavailable_s = -math.inf
        #: When the store was last unavailable according to other instances, by its own
        #: clock.
        self._reported_unavailable_s: float | None = None
        #: Set to end the pause before the next read.
        self._is_due = asyncio.Event()
        self._due_timer: asyncio.TimerHandle | None = None

    def read_soon(self, *, within_s: float) -> None:
        """End the pause before the next read, at some moment within a time.

        Args:
            within_s: Over how long the reads of many instances are spread, in seconds.
        """
        if self._due_timer is None:
            delay_s = self._rng.uniform(0.0, within_s)
            loop = asyncio.get_running_loop()
            self._due_timer = loop.call_later(delay_s, self._end_pause)

    def _end_pause(self) -> None:
        """End the pause before the next read, if there is one."""
        self._due_timer = None
        self._is_due.set()

    async def _pause(self, pause_s: float) -> None:
        """Wait before the next read, unless it is due sooner."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._is_due.wait()

    def state(self) -> TableState:
        """Return what this instance's view of the table rests on."""
        age_s = self._freshness.age_s(now_s=clocks.now_s())
        return TableState(
            self._era,
            self._version,
            self._proof_source,
            _logged_s(age_s),
        )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._read_once()
            except HistoryGoneError:
                await self._note_history_gone()
            except TableUnavailableError as error:
                self._note_unavailable(error)
                await asyncio.sleep(self._retry_pause_s())

    async def _note_history_gone(self) -> None:
        """Have the whole table read; pause if that was tried just now.

        The store answers, so that the pause does not grow as it does for one that is
        unavailable.
        """
        events.log(events.HISTORY_GONE, table=self.table, after=self._version)
        was_tried = self._version is None
        self._version = None
        if was_tried:
            pause_s = self.settings.retry_pause_s
            await asyncio.sleep(pause_s * self._rng.uniform(*_PAUSE_PARTS))

    def _retry_pause_s(self) -> float:
        """Return how long to wait after a failed read, in seconds.

        The interval is measured from the beginning of the read, which may have timed
        out, but is not shorter than the first pause.
        """
        first_s = self.settings.retry_pause_s
        longest_s = max(first_s, _LONGEST_PAUSE_S)
        self._pause_s = min(longest_s, max(first_s, 2.0 * self._pause_s))
        part = self._rng.uniform(*_PAUSE_PARTS)
        took_s = clocks.now_s() - self._read_began_s
        return max(first_s * part, self._pause_s * part - took_s)

    @property
    def _idle_pause_s(self) -> float:
        """The least time from a read that brought nothing to the next one."""
        pause_s = _IDLE_PAUSES * self.settings.change_pause_s
        return min(self.settings.change_wait_s, pause_s)

    async def _read_once(self) -> None:
        """Read the table or its next changes, and take them in."""
        sent_s = self._read_began_s = clocks.now_s()
        self._is_due.clear()
        is_waiting = self._version is not None and not self._is_unavailable
        view = await self._read()
        is_whole = self._version is None or view.is_whole
        if is_whole and self._is_older(view):
            view = view._replace(is_restored=True)
        if not view.is_relayed:
            self._clock.observe(view.store_s, sent_s=sent_s, era=view.era)
        self._pause_s = 0.0
        self._note_back(view)
        await self._take_in(view, is_whole=is_whole)
        if is_whole and self._first_pause_s:
            pause_s, self._first_pause_s = self._first_pause_s, 0.0
            await self._pause(pause_s)
        if view.is_relayed or is_whole:
            return
        if view.values:
            await self._pause(self.settings.change_pause_s)
        elif is_waiting:
            # A store may answer at once that there is nothing, time after time.
            rest_s = sent_s + self._idle_pause_s - clocks.now_s()
            await asyncio.sleep(max(0.0, rest_s))

    async def _read(self) -> TableView:
        """Read the table, or its next changes if it is known.

        Raises:
            HistoryGoneError: The changes are no longer known.
            TableUnavailableError: Nobody answers.
        """
        if self._version is None:
            return await self._read_whole()
        # After an outage the first read only asks, so as to learn soon.
        wait_s = 0.0 if self._is_unavailable else self.settings.change_wait_s
        return await self._source.read_changes(
            self.table, after=self._version, wait_s=wait_s, era=self._era
        )

    async def _read_whole(self) -> TableView:
        """Read the whole table; one that replaces another, with the changes after it.

        A read of a whole table may be seconds old.  It counts once the store has
        answered for the changes after it.

        Raises:
            HistoryGoneError: The changes after it can't be had.
            TableUnavailableError: Nobody answers.
        """
        view = await self._source.read_table(self.table)
        if view.is_relayed or self._cache.version == NEVER:
            return view
        later = await self._source.read_changes(
            self.table, after=view.version, wait_s=0.0, era=view.era, is_direct=True
        )
        if later.is_whole:
            return later
        values = {**view.values, **later.values}
        return later._replace(
            values={key: value for key, value in values.items() if value is not None},
            is_whole=True,
        )

    def _is_older(self, view: TableView) -> bool:
        """Return whether a whole table is of a store that went back in its history."""
        if self._cache.version == NEVER:
            return False
        return view.era > self._era or view.version < self._cache.version

    async def _take_in(self, view: TableView, *, is_whole: bool) -> None:
        """Take in what was read, for this instance and for others."""
        if is_whole:
            self._log_read(view)
        self._cache.take(view, is_whole=is_whole)
        if view.values or is_whole:
            taking = self._take(view, is_whole)
            if taking is not None:
                await taking
        self._version = view.version
        self._era = view.era
        self._proof_source = view.source
        if self._clock.is_known:
            proven_s = self._clock.earliest_local_s(view.store_s)
            # A time to come shows that a restored store's clock is not mapped yet.
            if proven_s <= clocks.now_s():
                self._freshness.proven(proven_s)

    def _log_read(self, view: TableView) -> None:
        """Log that the whole table was read."""
        events.log(
            events.TABLE_READ,
            table=self.table,
            rows=len(view.values),
            era=view.era,
            era_before=self._era,
            row_version=view.version,
            row_version_before=self._cache.version,
            source=view.source,
        )

    def _note_unavailable(self, error: TableUnavailableError) -> None:
        """Log once that the store does not answer."""
        if error.unavailable_s is not None:
            self._unavailable_s = max(self._unavailable_s, error.unavailable_s)
            self._record_outage(self._unavailable_s)
        if self._is_unavailable:
            return
        self._is_unavailable = True
        self._cache.note_unavailable()
        age_s = self._freshness.age_s(now_s=clocks.now_s())
        events.log(
            events.TABLE_UNREACHABLE,
            table=self.table,
            reason=error.detail,
            read_s=round(clocks.now_s() - self._read_began_s, 3),
            proof_age_s=_logged_s(age_s),
        )

    def _note_back(self, view: TableView) -> None:
        """Log that the store answers again, and tell of the outage.

        It may have been unavailable only to the instance that reads it for this one.
        """
        now_s = clocks.now_s()
        unavailable_s = self._take_reported_outage(view)
        if view.is_restored:
            unavailable_s = self._read_began_s
        is_back = self._is_unavailable or view.is_restored
        if self._is_unavailable:
            self._is_unavailable = False
            if unavailable_s is None or unavailable_s < self._unavailable_s:
                unavailable_s = self._unavailable_s
            events.log(
                events.TABLE_REACHABLE,
                table=self.table,
                unavailable_ago_s=_logged_s(now_s - unavailable_s),
            )
        if unavailable_s is None:
            return
        if is_back and not view.is_relayed:
            self._record_outage(unavailable_s)
        # A restored store may lack entries, however new the last proof is.
        age_s = self._freshness.age_s(now_s=now_s)
        proven_s = -math.inf if view.is_restored else now_s - age_s
        self._on_recovery(StoreOutage(proven_s, unavailable_s))

    def _take_reported_outage(self, view: TableView) -> float | None:
        """Return when the store was unavailable, if another instance reports an outage.

        The time is in monotonic seconds; each outage is returned once.
        """
        reported_s = view.unavailable_s
        if reported_s is None or reported_s == self._reported_unavailable_s:
            return None
        self._reported_unavailable_s = reported_s
        unavailable_s = self._clock.past_local_s(reported_s)
        if unavailable_s is not None and unavailable_s > self._unavailable_s:
            self._cache.record_outage(reported_s)
        return unavailable_s

    def _record_outage(self, unavailable_s: float) -> None:
        """Keep for other instances when the store was unavailable."""
        store_s = self._clock.latest_store_s(unavailable_s)
        if store_s is not None and store_s > -math.inf:
            self._cache.record_outage(store_s)


def _logged_s(age_s: float) -> float | None:
    """Return an age as it is logged, in seconds; None if it is infinite."""
    return None if age_s == math.inf else round(age_s, 3)
