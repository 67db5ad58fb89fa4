# SPDX-License-Identifier: MIT
"""Asks other instances for retries, and gives them some."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random

from typing import NamedTuple, Protocol

from . import clocks, events, running_time
from ._peer_datagrams import PeerDatagrams, RetryAskDatagram, RetryGiftDatagram
from .instances import InstanceEntry
from .running_time import LATE_S


#: How many instances are asked at once, near ones first.  Each gives up to a half of
#: its part, so that six of 64 give some eight retries, and six of 350 one or two.
_ASKED = 6
#: How long an answer may take, in seconds: a way there and back between zones, and
#: the time of day that small instances are late by.  The stream waits for it.
_ANSWER_S = 0.05
#: How many retries are asked for at a time.
_WANTED = 8.0


class Account(Protocol):
    """An instance's retries, by service."""

    def grant_retries(self, service: str, wanted: float) -> float:
        """Take off and return what another instance gets."""

    def receive_retries(self, service: str, amount: float) -> None:
        """Take in what another instance has taken off its part."""


class _Asked(NamedTuple):
    """A question: whom it went to, of those who have not answered, and who waits."""

    service: str
    peers: set[str]
    waiting: list[asyncio.Future[None]]


class RetryLink:
    """Moves retries between instances.

    Args:
        datagrams: Carries them.
        account: This instance's own.
        rng: Chooses whom to ask.
    """

    def __init__(
        self, datagrams: PeerDatagrams, account: Account, *, rng: random.Random
    ) -> None:
        self._datagrams = datagrams
        self._account = account
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(31))
        self._asked: dict[int, _Asked] = {}
        #: By service, the question that others wait for as well.
        self._open: dict[str, _Asked] = {}
        datagrams.on(RetryAskDatagram, self._take_question)
        datagrams.on(RetryGiftDatagram, self._take_gift)

    async def request(self, service: str) -> bool:
        """Ask others for retries; tell whether one has given some before too long.

        What came while this instance stood still is too old: others are asked again.
        """
        asked_s = clocks.now_s()
        if await self._ask_once(service):
            return True
        stood_still = clocks.now_s() - asked_s > _ANSWER_S + LATE_S
        return stood_still and await self._ask_once(service)

    async def _ask_once(self, service: str) -> bool:
        """Ask others once; tell whether one has given some in time."""
        question = self._open.get(service) or self._send(service)
        if question is None:
            return False
        given = asyncio.get_running_loop().create_future()
        question.waiting.append(given)
        # Who asked logs it if nothing was left.
        return await running_time.wait((given,), limit_s=_ANSWER_S)

    def _send(self, service: str) -> _Asked | None:
        """Ask some others; None where there is nobody."""
        peers = self._chosen()
        if not peers:
            return None
        number = next(self._numbers)
        question = _Asked(service, {one.id for one in peers}, [])
        self._asked[number] = question
        self._open[service] = question
        running_time.call_later(_ANSWER_S, functools.partial(self._forget, number))
        own_id = self._datagrams.directory.own.id
        for peer in peers:
            message = RetryAskDatagram(peer.token, own_id, number, service, _WANTED)
            self._datagrams.send(peer, message)
        return question

    def _chosen(self) -> list[InstanceEntry]:
        """Return whom to ask: some of the own zone, and some of all."""
        directory = self._datagrams.directory
        others = directory.others()
        if not self._datagrams.is_open or not others:
            return []
        zone = directory.own.availability_zone
        near = [one for one in others if one.availability_zone == zone]
        chosen = self._rng.sample(near, min(len(near), _ASKED // 2))
        rest = [one for one in others if one not in chosen]
        return chosen + self._rng.sample(rest, min(len(rest), _ASKED - len(chosen)))

    def _forget(self, number: int) -> None:
        """Let go of a question: what comes later does not count."""
        self._close(self._asked.pop(number))

    def _close(self, question: _Asked) -> None:
        """Ask anew the next time, others than those who were asked."""
        if self._open.get(question.service) is question:
            del self._open[question.service]

    def _take_question(self, message: RetryAskDatagram) -> None:
        """Give another instance some retries, if there are any."""
        amount = self._account.grant_retries(message.service, message.wanted)
        if not amount:
            return
        directory = self._datagrams.directory
        peer = next(
            (one for one in directory.others() if one.id == message.sender), None
        )
        if peer is None:
            return  # its entry is not known here; the retries are lost
        gift = RetryGiftDatagram(peer.token, directory.own.id, message.number, amount)
        self._datagrams.send(peer, gift)

    def _take_gift(self, message: RetryGiftDatagram) -> None:
        """Take retries in, once from each who was asked."""
        question = self._asked.get(message.number)
        if question is None or message.sender not in question.peers:
            return  # too late, or a datagram that came twice
        question.peers.discard(message.sender)
        self._account.receive_retries(question.service, message.amount)
        events.log(
            events.RETRIES_GIVEN,
            service=question.service,
            giver=message.sender,
            amount=round(message.amount, 2),
        )
        if not question.peers:
            self._close(question)
        for waiting in question.waiting:
            if not waiting.done():
                waiting.set_result(None)
        question.waiting.clear()
