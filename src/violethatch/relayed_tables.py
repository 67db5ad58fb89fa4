# SPDX-License-Identifier: MIT
"""Reading a table: from the store, or from an instance that reads it for others.

What an instance has read it keeps for others in a `TableCache`.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import functools
import math
import random

from collections.abc import Collection, Mapping

from . import clocks, events
from ._retrying_reader import RetryingReader
from .errors import TableUnavailableError
from .freshness import StoreClock
from .instances import InstanceDirectory, InstanceEntry
from .peer_reads import (
    NoUpdateError,
    PeerLostError,
    PeerReads,
    PeerRefusedError,
    PeerSilentError,
    PeerTokenRefusedError,
)
from .read_waits import ReadWaits
from .store_era import NO_ERA, Position, ProofTime, StoreEra
from .table_cache import NEVER
from .upstream import HistoryGoneError, TableStore, TableView


#: The bound on how late a change may be in force that is assumed unless a site
#: states another, in seconds.
CHANGE_BOUND_S = 2.0
#: How long a question waits that was told before that the store is unavailable, in
#: seconds.
_PATIENT_S = 1.0
#: How many instances are asked before the store is.
_MOST_SOURCES = 3
#: For how long peers are asked before the store after it gave no answer, in
#: seconds.
_STORE_REST_S = 2.0
#: The reads a second by which all instances together map the clock of a restored
#: store, and the shortest time over which they are spread, in seconds.
_CLOCK_READS_A_S = 60.0
_MIN_CLOCK_SPREAD_S = 1.0
#: How many helpers are asked in one try.
_MOST_HELPERS = 2


_NOWHERE = Position(NO_ERA, NEVER)
_UNPROVEN = ProofTime(NO_ERA, float(NEVER))


class RelayedTables:
    """Reads tables from the store, or from who reads it for others.

    Args:
        store: Reads the store itself.
        peers: Asks other instances.
        directory: Who they are.
        unproven: Tables of which only changes count, and no proof that there
            were none.
        bound_s: How late a change may be in force, in seconds.
        era: The newest era seen; each view's is recorded there.
        clock: Maps the store's clock, which only calls of the store itself do.
        rng: Spreads the calls that map it anew.

    .. versionadded:: 26.1.0
    """

    def __init__(
        self,
        store: TableStore,
        peers: PeerReads,
        directory: InstanceDirectory,
        *,
        unproven: Collection[str] = (),
        bound_s: float = CHANGE_BOUND_S,
        era: StoreEra | None = None,
        clock: StoreClock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._waits = ReadWaits(directory, bound_s=bound_s)
        #: Tables whose latest read of the store came to nothing: it may have been
        #: restored since.
        self._interrupted: set[str] = set()
        self._store = RetryingReader(store, on_read_lost=self._interrupted.add)
        self._peers = peers
        self._directory = directory
        self._unproven = unproven
        self._era = era or StoreEra()
        self._clock = clock
        self._rng = rng or random.Random()
        #: From when on the store itself is read, to map a new era's clock.
        self._map_clock_s = 0.0
        self._era.on_restore(self._plan_clock_read)
        self._known: dict[str, ProofTime] = {}
        self._sources: dict[str, str] = {}
        self._store_rests_until_s = 0.0
        #: By table, when the store was last unavailable according to other instances,
        #: by its own clock.
        self._reported_outage_s: dict[str, float] = {}
        self._era.on_restore(self._reported_outage_s.clear)
        #: Unproven tables whose changes were read from the store once.
        self._confirmed: set[str] = set()

    def take_bound(self, bound_s: float) -> None:
        """Take a changed bound on changes in, in seconds."""
        self._waits.bound_s = bound_s

    @property
    def sources(self) -> Mapping[str, str]:
        """By table, the instance its updates came from last; `store` for the store."""
        return self._sources

    async def read_table(self, table: str) -> TableView:
        """Return a whole table.

        Raises:
            TableUnavailableError: Neither the store nor any instance answers.
        """
        try:
            return self._noted(table, await self._store.read_table(table))
        except TableUnavailableError as error:
            view = await self._ask_helpers(table, after=_NOWHERE, wait_s=0.0)
            if view is None:
                raise
            self._note_source(table, "peers", error.detail)
            return view

    async def read_changes(
        self,
        table: str,
        *,
        after: int,
        wait_s: float,
        era: int = NO_ERA,
        is_direct: bool = False,
    ) -> TableView:
        """Return changes as soon as there are any, or a newer proof.

        Raises:
            HistoryGoneError: Changes since *after* can't be had any more.
            TableUnavailableError: Neither the store nor any instance answers.
        """
        position = Position(era, after)
        if is_direct:
            return await self._read_store(table, after=position, wait_s=wait_s)
        if self._is_clock_due:
            self._plan_clock_read()  # for the next try, if this one comes to nothing
            wait_s = 0.0
        elif self._may_follow(table):
            view = await self._follow(table, after=position, wait_s=wait_s)
            if view is not None:
                return view
            wait_s = 0.0
        now_s = clocks.now_s()
        if self._is_proven(table):
            is_reader = self._directory.is_reader(now_s=now_s)
            bound_s = self._waits.reader_s if is_reader else self._waits.direct_s
            wait_s = min(wait_s, bound_s)
        if now_s < self._store_rests_until_s:
            view = await self._ask_helpers(
                table, after=position, wait_s=self._waits.follow_s
            )
            if view is not None:
                return view
            wait_s = 0.0
        return await self._read_store(table, after=position, wait_s=wait_s)

    def _plan_clock_read(self) -> None:
        """Plan the read that maps a new era's clock."""
        spread_s = max(_MIN_CLOCK_SPREAD_S, len(self._directory) / _CLOCK_READS_A_S)
        self._map_clock_s = clocks.now_s() + self._rng.uniform(0.0, spread_s)

    @property
    def _is_clock_due(self) -> bool:
        """Whether the store has to be read to map its clock.

        A restored store's clock may show another time, by which a relayed proof would
        count as older or newer than it is.
        """
        if self._clock is None or not self._clock.is_known:
            return False
        if self._clock.era >= self._era.current:
            return False
        return clocks.now_s() >= self._map_clock_s

    def _may_follow(self, table: str) -> bool:
        """Tell whether another instance is asked before the store.

        The entries by which it is found may be those from before all instances
        started again; their first changes are read from the store.
        """
        if not self._is_proven(table) and table not in self._confirmed:
            self._confirmed.add(table)
            return False
        return self._directory.source(now_s=clocks.now_s()) is not None

    async def _follow(
        self, table: str, *, after: Position, wait_s: float
    ) -> TableView | None:
        """Ask who reads for this instance; None if it has to read the store itself.

        Raises:
            TableUnavailableError: The store refuses those who read for it.
        """
        is_refused = False
        for attempt in range(_MOST_SOURCES):
            source = self._directory.source(now_s=clocks.now_s())
            if source is None:
                return None
            # Without a wait it was unavailable before: its recovery is awaited.
            is_patient = attempt == 0 and wait_s <= 0
            patience_s = self._patience_s(table, attempt, wait_s)
            try:
                view = await self._ask(
                    source,
                    table,
                    after=after,
                    wait_s=patience_s,
                    is_patient=is_patient,
                )
            except PeerRefusedError as error:
                is_refused = True
                self._record_outage(table, error)
                self._directory.note_refused(source.id, now_s=clocks.now_s())
                self._note_source(table, "another", f"{source.id}: {error}")
            except NoUpdateError as error:
                if not self._is_proven(table):
                    return self._unchanged(table, after)
                if attempt:
                    # It had no time to wait: its next proof may be on its way.
                    self._directory.note_refused(source.id, now_s=clocks.now_s())
                else:
                    self._leave(source, table, error)
            except PeerSilentError as error:
                self._leave(source, table, error)
            else:
                self._note_source(table, source.id, "follows it")
                return view
        return await self._ask_elsewhere(table, after=after) if is_refused else None

    async def _ask_elsewhere(self, table: str, *, after: Position) -> TableView:
        """Ask other zones' relays, which may have read the store themselves.

        Raises:
            TableUnavailableError: They have no newer proof.
        """
        view = await self._ask_helpers(table, after=after, wait_s=0.0)
        if view is None:
            self._interrupted.add(table)
            msg = "the store refuses those who read for this instance"
            error = TableUnavailableError(msg)
            error.unavailable_s = self._local_outage_s(table)
            raise error
        return view

    def _record_outage(self, table: str, error: PeerRefusedError) -> None:
        """Record when the store was unavailable to another instance."""
        if error.unavailable_s is not None:
            known_s = self._reported_outage_s.get(table, error.unavailable_s)
            self._reported_outage_s[table] = max(known_s, error.unavailable_s)

    def _local_outage_s(self, table: str) -> float | None:
        """Return when the store was unavailable to another instance, if that is known.

        The time is in monotonic seconds.
        """
        reported_s = self._reported_outage_s.get(table)
        if reported_s is None or self._clock is None:
            return None
        return self._clock.past_local_s(reported_s)

    def _patience_s(self, table: str, attempt: int, wait_s: float) -> float:
        """Return how long another instance may wait for its next proof, in seconds.

        The first one that is asked may; the others stand in for it and have it.
        """
        if attempt:
            return 0.0
        if wait_s <= 0:
            return _PATIENT_S
        return self._waits.follow_s if self._is_proven(table) else wait_s

    def _unchanged(self, table: str, after: Position) -> TableView:
        """Return that nothing has changed, as of the newest proof."""
        known = self._known.get(table, _UNPROVEN)
        store_s = known.store_s if known.era == after.era else float(NEVER)
        return TableView({}, after.version, store_s, is_relayed=True, era=after.era)

    def _leave(self, source: InstanceEntry, table: str, error: PeerSilentError) -> None:
        """Follow another instance, or none, for a while."""
        self._note_silent(source, error)
        self._note_source(table, "another", f"{source.id}: {error}")

    async def _read_store(
        self, table: str, *, after: Position, wait_s: float
    ) -> TableView:
        """Read the store itself; ask other instances if it gives no answer.

        Raises:
            HistoryGoneError: Changes since *after* can't be had any more.
            TableUnavailableError: Neither the store nor any instance answers.
        """
        try:
            view = await self._store.read_changes(
                table,
                after=after.version,
                wait_s=wait_s,
                answer_s=self._waits.answer_s if wait_s > 0 else None,
                era=after.era,
            )
        except TableUnavailableError as error:
            self._interrupted.add(table)
            helped = await self._ask_helpers(table, after=after, wait_s=0.0)
            if helped is None:
                raise
            self._store_rests_until_s = clocks.now_s() + _STORE_REST_S
            self._note_source(table, "peers", error.detail)
            return helped
        self._note_source(table, "store", "reads it")
        if table in self._interrupted:
            self._interrupted.discard(table)
            if view.era == NO_ERA:
                # It may have been restored meanwhile, without a sign of that.
                raise HistoryGoneError
        return self._noted(table, view)

    async def _ask_helpers(
        self, table: str, *, after: Position, wait_s: float
    ) -> TableView | None:
        """Ask some instances for a newer proof; None if nobody has one.

        Only the first one may wait for its next proof.
        """
        now_s = clocks.now_s()
        for helper in self._directory.helpers(now_s=now_s)[:_MOST_HELPERS]:
            try:
                return await self._ask(helper, table, after=after, wait_s=wait_s)
            except PeerSilentError as error:
                self._note_unhelpful(helper, error)
                events.log(
                    events.HELPER_SILENT,
                    table=table,
                    instance_id=helper.id,
                    reason=str(error),
                )
                wait_s = 0.0
        return None

    def _note_unhelpful(self, helper: InstanceEntry, error: PeerSilentError) -> None:
        """Ask another instance next time."""
        if isinstance(error, PeerRefusedError):
            self._directory.note_refused(helper.id, now_s=clocks.now_s())
        else:
            self._note_silent(helper, error)

    def _note_silent(self, peer: InstanceEntry, error: PeerSilentError) -> None:
        """Note that an instance gave no answer, or not to this token."""
        if isinstance(error, PeerTokenRefusedError):
            self._directory.note_token_refused(peer)
        else:
            self._directory.note_down(peer.id, now_s=clocks.now_s())

    async def _ask(
        self,
        peer: InstanceEntry,
        table: str,
        *,
        after: Position,
        wait_s: float,
        is_patient: bool = False,
    ) -> TableView:
        """Ask an instance.

        Raises:
            PeerSilentError: It has no newer proof, or gives no answer.
        """
        ask = functools.partial(
            self._peers.changes,
            peer,
            table,
            after=after.version,
            known_s=self._outdated_s(table, after.era),
            margin_s=self._waits.margin_s,
            era=after.era,
            is_patient=is_patient,
        )
        try:
            view = await ask(wait_s=wait_s)
        except PeerLostError as error:
            events.log(
                events.READ_REPEATED, table=table, source=peer.id, reason=str(error)
            )
            view = await ask(wait_s=min(wait_s, self._waits.repeat_s))
        if view.proof < self._known.get(table, _UNPROVEN):
            msg = "older than what is known"
            raise PeerSilentError(msg)
        return self._noted(table, view._replace(source=peer.id))

    def _is_proven(self, table: str) -> bool:
        """Tell whether also a proof counts that nothing has changed."""
        return table not in self._unproven

    def _outdated_s(self, table: str, era: int) -> float:
        """Return the time of an era of the store up to which a proof is of no use."""
        if not self._is_proven(table):
            return math.inf
        known = self._known.get(table, _UNPROVEN)
        return known.store_s if known.era == era else float(NEVER)

    def _noted(self, table: str, view: TableView) -> TableView:
        """Remember the newest proof of a table, and the store's era."""
        self._known[table] = max(self._known.get(table, _UNPROVEN), view.proof)
        if view.era > self._era.current:
            self._era.observe(view.era, source=view.source)
        return view

    def _note_source(self, table: str, source: str, reason: str) -> None:
        """Log where a table's updates come from, if that has changed."""
        before = self._sources.get(table)
        self._sources[table] = source
        if before is not None and before != source:
            events.log(
                events.SOURCE_CHANGED,
                table=table,
                source=source,
                before=before,
                reason=reason,
                known=self._known.get(table),
            )
