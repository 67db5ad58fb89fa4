# SPDX-License-Identifier: MIT
"""Limits of servers between instances: who has heard of one, and who counts for all.

A server's *keeper* gives the permits for it (`limit_permits`).  Everybody works out by
the list of instances who that is, so that nothing is agreed.  It is one of the server's
own zone: who is cut off from that zone reaches the server no more than its keeper.
Whoever is asked and takes another one for the keeper asks that one in turn, so that
lists which differ for a moment end at one keeper.  One that doesn't answer is passed
over for a while; where none answers, an instance gives itself an equal part.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random

from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from . import clocks, events, running_time
from ._limit_enforcement import LimitGate
from ._listed import format_lifetime, parse_lifetime
from ._peer_datagrams import (
    LimitDatagram,
    PeerDatagrams,
    PermitAskDatagram,
    PermitDatagram,
    SendAllowance,
)
from .backends import BackendServer
from .instances import InstanceEntry
from .limit_permits import GIVEN, WINDOW_S, PermitReply
from .membership import rendezvous
from .server_limits import Limit


#: How long a keeper's answer is waited for, in seconds: ways there and back between
#: regions, and another one if it has to be asked for.  The request waits for it.
_ANSWER_S = 0.06
#: The same for who asks on behalf of another, who waits longer.
_PASSED_ON_S = 0.03
#: How often a request asks where it gets no answer: a datagram may be lost.
_TRIES = 2
#: A wait that ended so much later than it should, in seconds, says that the instance
#: itself was held up: the keeper may have answered, and others ask it on.
_HELD_UP_S = 0.02
#: How many questions in a row go without an answer before a keeper is passed over, and
#: for how long, in seconds.  Who takes its place doesn't know what it has given, so
#: that losses alone must not come to that: one in ten lost does once in 20,000 times.
_MOST_MISSED = 6
_PASSED_OVER_S = 5.0
#: How many instances are taken for the keeper, one after the other.
_CANDIDATES = 3
#: The most questions for one server that wait for answers; the rest goes elsewhere.
_MOST_ASKED = 8
#: When to ask again where there was no answer, in seconds.
_NO_ANSWER_S = 0.1
#: How often to look for instances that have come, in seconds: within one all are to
#: keep to a limit.
_LOOK_S = 0.5
#: Words that may be told to all in a second: with 350 instances of some 90 bytes each
#: 60 KB in a second in which two limits change.
_MOST_TOLD_A_S = 2
#: After how long a word goes out again, in seconds: later than a burst of losses, and
#: early enough that all know within a second.
_AGAIN_S = 0.4
_MS_PER_S = 1000
#: The least urgent priority that is told.
_LAST_PRIORITY = 9
#: The answer to who asks and is the keeper by the list of who is asked.
_YOURS = PermitReply(is_granted=False, wait_s=-1.0)
#: The longest time ago that is told: what is older is as old as that.
_LONGEST_AGO_MS = 2**31 - 1


class _List(NamedTuple):
    """The instances of one revision, and by server and zone who may keep permits."""

    revision: int
    entries: Mapping[str, InstanceEntry]
    candidates: dict[tuple[str, str], Sequence[str]]


class LimitLink:
    """Asks keepers for permits, gives them, and tells of limits.

    Args:
        datagrams: Carries what is said.
        gate: Knows the limits.
        rng: Numbers the questions.
        is_leaving: Tells whether this instance is to end, and keeps nothing any more.
    """

    def __init__(
        self,
        datagrams: PeerDatagrams,
        gate: LimitGate,
        *,
        rng: random.Random,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._datagrams = datagrams
        self._directory = datagrams.directory
        self._gate = gate
        self._is_leaving = is_leaving
        self._numbers = itertools.count(rng.getrandbits(30))
        #: By question, whom it went to and who waits for the answer.
        self._asked: dict[int, tuple[str, asyncio.Future[PermitReply]]] = {}
        #: By server, how many questions wait.
        self._waiting: dict[str, int] = {}
        #: By instance, how many questions in a row it has not answered, and since when.
        self._missed: dict[str, tuple[int, float]] = {}
        self._passed_over_until_s: dict[str, float] = {}
        self._list = _List(-1, {}, {})
        self._started_s = clocks.now_s()
        #: Servers whose permits fall to this instance, which it leaves to the next one.
        self._left_to_next: set[str] = set()
        self._known_ids: set[str] = set()
        self._allowance = SendAllowance(most_a_second=_MOST_TOLD_A_S)
        self._tasks: set[asyncio.Task[None]] = set()
        datagrams.on(LimitDatagram, self._take_limit)
        datagrams.on(PermitAskDatagram, self._take_question)
        datagrams.on(PermitDatagram, self._take_permit)

    async def run(self) -> None:
        """Tell instances that have come of the limits kept here, until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            self._tell_newcomers()
            self._left_to_next = {
                one for one in self._left_to_next if self._gate.limit_of(one)
            }

    async def request_permit(
        self, server: BackendServer, limit: Limit, priority: int
    ) -> PermitReply:
        """Ask for a permit to send to a server; at the most some moments.

        Args:
            server: Whom something is to be sent to.
            limit: What is known of its limit.
            priority: Of what is to be sent; 0 is the most urgent.
        """
        waiting = self._waiting.get(server.id, 0)
        if waiting >= _MOST_ASKED:
            return PermitReply(is_granted=False, wait_s=_ANSWER_S)
        self._waiting[server.id] = waiting + 1
        try:
            return await self._ask(server, limit, priority)
        finally:
            self._waiting[server.id] -= 1
            if not self._waiting[server.id]:
                del self._waiting[server.id]

    def announce(self, server_id: str, limit: Limit) -> None:
        """Tell of a word that this instance has heard from the server."""
        keeper = self._keeper(server_id)
        if keeper is None:
            self._tell_all(server_id, limit)
        else:
            self._send_limit(keeper, server_id, limit, is_for_all=True)

    async def _ask(
        self, server: BackendServer, limit: Limit, priority: int
    ) -> PermitReply:
        """Ask the keeper, and the next one if that gives no answer."""
        own_id = self._directory.own.id
        for _ in range(_TRIES):
            keeper = self._keeper(server.id)
            if keeper is None:
                return self._give(server.id, own_id, limit, priority)
            reply = await self._ask_keeper(
                keeper,
                server.id,
                limit,
                priority,
                is_passed_on=self._has_resigned(server.id, keeper),
            )
            if reply is _YOURS:
                return self._give(server.id, own_id, limit, priority)
            if reply is not None:
                return reply
        return PermitReply(is_granted=False, wait_s=_NO_ANSWER_S)

    def _keeper(self, server_id: str) -> InstanceEntry | None:
        """Return who keeps a server's permits; None for this instance."""
        if not self._datagrams.is_open:
            return None
        own_id = self._directory.own.id
        entries = self._entries()
        now_s = clocks.now_s()
        for candidate in self._candidates(server_id):
            if candidate == own_id:
                if self._may_keep(server_id, now_s=now_s):
                    return None
            elif now_s >= self._passed_over_until_s.get(candidate, 0.0):
                return entries[candidate]
        return None

    def _may_keep(self, server_id: str, *, now_s: float) -> bool:
        """Tell whether this instance keeps permits that fall to it.

        Who has just started, or is about to end, leaves them to the next one: others'
        lists don't tell it yet, or no longer.  It does so until the limit is over:
        whoever takes over doesn't know what was given.
        """
        if now_s - self._started_s < WINDOW_S or self._is_leaving():
            self._left_to_next.add(server_id)
        elif self._gate.limit_of(server_id) is None:
            self._left_to_next.discard(server_id)
        return server_id not in self._left_to_next

    def _has_resigned(self, server_id: str, keeper: InstanceEntry) -> bool:
        """Tell whether this instance leaves a server's permits to the keeper.

        That one then keeps them, whomever it takes for the keeper: else two that both
        have just started would each point to the other.
        """
        candidates = self._candidates(server_id)
        own_id = self._directory.own.id
        if own_id not in candidates:
            return False
        return candidates.index(own_id) < candidates.index(keeper.id)

    def _entries(self) -> Mapping[str, InstanceEntry]:
        """Return all instances, this one included, by id."""
        if self._list.revision != self._directory.revision:
            own = self._directory.own
            entries = {one.id: one for one in self._directory.others()}
            self._list = _List(self._directory.revision, entries | {own.id: own}, {})
        return self._list.entries

    def _candidates(self, server_id: str) -> Sequence[str]:
        """Return who may keep a server's permits, in turn."""
        entries = self._entries()
        zone = self._gate.zone_of(server_id)
        known = self._list.candidates.get((server_id, zone))
        if known is None:
            near = [one.id for one in entries.values() if one.availability_zone == zone]
            known = rendezvous(server_id, near or entries, count=_CANDIDATES)
            self._list.candidates[server_id, zone] = known
        return known

    def _give(
        self, server_id: str, asker: str, limit: Limit, priority: int
    ) -> PermitReply:
        """Give a permit of those that this instance keeps."""
        part = 1.0
        if self._directory.own.id not in self._candidates(server_id):
            # Nobody who may keep them answers: each instance has its part.
            part = 1.0 / len(self._entries())
        return self._gate.give(server_id, asker, part * limit.per_s, priority=priority)

    async def _ask_keeper(
        self,
        keeper: InstanceEntry,
        server_id: str,
        limit: Limit,
        priority: int,
        *,
        is_passed_on: bool = False,
    ) -> PermitReply | None:
        """Return a keeper's answer, or None if none came in time."""
        number = next(self._numbers)
        answer: asyncio.Future[PermitReply]
        answer = asyncio.get_running_loop().create_future()
        self._asked[number] = (keeper.id, answer)
        now_s = clocks.now_s()
        message = PermitAskDatagram(
            token=keeper.token,
            sender=self._directory.own.id,
            number=number,
            lifetime=format_lifetime(server_id, limit.started_ms),
            limit_a_s=limit.per_s,
            sent_ago_ms=_ago_ms(limit.sent_s, now_s),
            heard_ago_ms=_ago_ms(limit.heard_s, now_s),
            priority=min(_LAST_PRIORITY, max(0, priority)),
            is_passed_on=is_passed_on,
        )
        self._datagrams.send(keeper, message)
        limit_s = _PASSED_ON_S if is_passed_on else _ANSWER_S
        try:
            async with running_time.timeout(limit_s):
                reply = await answer
        except TimeoutError:
            if clocks.now_s() - now_s < limit_s + _HELD_UP_S:
                self._note_missed(keeper.id)
            return None
        finally:
            del self._asked[number]
        self._missed.pop(keeper.id, None)
        return reply

    def _note_missed(self, keeper_id: str) -> None:
        """Pass an instance over that has given no answer several times.

        Questions that wait at the same time are one: the keeper may have stood still
        for a moment.
        """
        now_s = clocks.now_s()
        before, noted_s = self._missed.get(keeper_id, (0, -math.inf))
        if now_s - noted_s < _ANSWER_S:
            return
        missed = before + 1
        self._missed[keeper_id] = (missed, now_s)
        if missed < _MOST_MISSED:
            return
        self._passed_over_until_s[keeper_id] = now_s + _PASSED_OVER_S
        events.log(events.KEEPER_SILENT, instance_id=keeper_id, missed=missed)

    def _take_question(self, message: PermitAskDatagram) -> None:
        """Give another instance a permit, or ask the keeper for it."""
        asker = self._entries().get(message.sender)
        if asker is None:
            return  # its entry is not known here yet
        server_id, limit = _heard_limit(message, message.limit_a_s)
        if self._gate.take(server_id, limit) and self._keeper(server_id) is None:
            self._tell_all(server_id, limit, but=message.sender)
        known = self._gate.limit_of(server_id, started_ms=limit.started_ms)
        if known is None:
            self._answer(asker, message.number, GIVEN)
            latest = self._gate.known.latest(server_id)
            if latest is not None and latest.is_lifted:
                self._send_limit(asker, server_id, latest)
            return
        keeper = None if message.is_passed_on else self._keeper(server_id)
        if keeper is None:
            reply = self._give(server_id, asker.id, known, message.priority)
            self._answer(asker, message.number, reply)
        elif keeper.id == asker.id:
            self._answer(asker, message.number, _YOURS)
        else:
            self._start(self._pass_on(asker, message, keeper, server_id, known))

    async def _pass_on(
        self,
        asker: InstanceEntry,
        message: PermitAskDatagram,
        keeper: InstanceEntry,
        server_id: str,
        limit: Limit,
    ) -> None:
        """Ask the keeper for another instance, and answer that one."""
        reply = await self._ask_keeper(
            keeper, server_id, limit, message.priority, is_passed_on=True
        )
        if reply is not None:
            self._answer(asker, message.number, reply)

    def _answer(self, asker: InstanceEntry, number: int, reply: PermitReply) -> None:
        """Answer a question."""
        message = PermitDatagram(
            token=asker.token,
            sender=self._directory.own.id,
            number=number,
            is_given=reply.is_granted,
            wait_ms=max(0, math.ceil(reply.wait_s * _MS_PER_S)),
            is_yours=reply is _YOURS,
        )
        self._datagrams.send(asker, message)

    def _take_permit(self, message: PermitDatagram) -> None:
        """Take an answer in, once and from who was asked."""
        asked, answer = self._asked.get(message.number, ("", None))
        if answer is None or asked != message.sender or answer.done():
            return  # too late, or a datagram that came twice
        reply = PermitReply(message.is_given, message.wait_ms / _MS_PER_S)
        answer.set_result(_YOURS if message.is_yours else reply)

    def _take_limit(self, message: LimitDatagram) -> None:
        """Take a word in that another instance has heard."""
        server_id, limit = _heard_limit(message, message.limit_a_s)
        is_news = self._gate.take(server_id, limit)
        if is_news and message.is_for_all:
            self._tell_all(server_id, limit, but=message.sender)

    def _tell_all(self, server_id: str, limit: Limit, *, but: str = "") -> None:
        """Tell all other instances of a word, now and once more."""
        if not self._allowance.take():
            return  # they hear of it from the server, or where they ask for a permit
        peers = [one for one in self._directory.others() if one.id != but]
        self._tell(peers, server_id, limit)
        asyncio.get_running_loop().call_later(
            _AGAIN_S, self._tell_again, peers, server_id
        )

    def _tell_again(self, peers: Sequence[InstanceEntry], server_id: str) -> None:
        """Tell some instances once more, of what is the latest word by now."""
        latest = self._gate.known.latest(server_id)
        if latest is not None:
            self._tell(peers, server_id, latest)

    def _tell(
        self, peers: Iterable[InstanceEntry], server_id: str, limit: Limit
    ) -> None:
        """Tell some instances of a word."""
        for peer in peers:
            self._send_limit(peer, server_id, limit)

    def _send_limit(
        self,
        peer: InstanceEntry,
        server_id: str,
        limit: Limit,
        *,
        is_for_all: bool = False,
    ) -> None:
        """Tell one instance of a word, and have it tell all if it is for all."""
        now_s = clocks.now_s()
        message = LimitDatagram(
            token=peer.token,
            sender=self._directory.own.id,
            lifetime=format_lifetime(server_id, limit.started_ms),
            limit_a_s=None if limit.is_lifted else limit.per_s,
            sent_ago_ms=_ago_ms(limit.sent_s, now_s),
            heard_ago_ms=_ago_ms(limit.heard_s, now_s),
            is_for_all=is_for_all,
        )
        self._datagrams.send(peer, message)

    def _tell_newcomers(self) -> None:
        """Tell instances that have come of the limits that this one keeps."""
        others = {one.id: one for one in self._directory.others()}
        newcomers = [one for key, one in others.items() if key not in self._known_ids]
        self._known_ids = set(others)
        if not newcomers:
            return
        for server_id, limit in self._gate.known.known().items():
            if self._keeper(server_id) is None:
                self._tell(newcomers, server_id, limit)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        """Do some work beside what goes on."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _ago_ms(at_s: float, now_s: float) -> int:
    """Return how long ago a time was, as datagrams tell it."""
    return min(_LONGEST_AGO_MS, max(0, int((now_s - at_s) * _MS_PER_S)))


def _heard_limit(
    message: LimitDatagram | PermitAskDatagram, limit_a_s: float | None
) -> tuple[str, Limit]:
    """Return the server that a datagram speaks of, and the word on its limit."""
    server_id, started_ms = parse_lifetime(message.lifetime)
    now_s = clocks.now_s()
    limit = Limit(
        math.inf if limit_a_s is None else limit_a_s,
        started_ms,
        0,
        now_s - message.sent_ago_ms / _MS_PER_S,
        now_s - message.heard_ago_ms / _MS_PER_S,
        teller=message.sender,
    )
    return server_id, limit
