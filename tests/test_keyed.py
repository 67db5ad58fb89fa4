# SPDX-License-Identifier: MIT
"""Keyed calls and their writers over a table in memory that misbehaves."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest

from violethatch import ABSENT, AnswerLostError, Claim, Put, Row
from violethatch._claim_writer import ClaimWriter, WriteReply, ZoneClaimWriter
from violethatch._keyed import Answer, KeyedCalls
from violethatch.errors import (
    ClaimRefusedError,
    KeyReusedError,
    MayHaveRunError,
    Ran,
    ServiceLostError,
    ServiceUnreachableError,
    TableUnavailableError,
)


OK = Answer(201, "text/plain", b"printed")


class FakeTable:
    """A table that follows a script: one word for each transaction.

    ``ok`` takes effect; ``lost`` takes effect, its answer is lost; ``late``
    takes effect only at `land`; ``out`` is refused.  Past its end: ``ok``.
    """

    def __init__(self, *script):
        self.rows = {}
        self.transactions = []
        self._script = itertools.chain(script, itertools.repeat("ok"))
        self._late = []

    async def read(self, keys):
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def transact(self, puts):
        self.transactions.append(list(puts))
        word = next(self._script)
        if word == "out":
            raise TableUnavailableError
        if word == "late":
            self._late.append(list(puts))
            raise AnswerLostError
        conflicts = self._apply(puts)
        if word == "lost":
            raise AnswerLostError
        return conflicts

    def land(self):
        """Let the delayed writes take effect."""
        for puts in self._late:
            self._apply(puts)
        self._late = []

    def _apply(self, puts):
        current = [self.rows.get(put.key, Row(put.key, ABSENT, {})) for put in puts]
        conflicts = [
            row
            for row, put in zip(current, puts, strict=True)
            if row.version != put.if_version
        ]
        if not conflicts:
            for put in puts:
                row = Row(put.key, put.if_version + 1, dict(put.value))
                self.rows[put.key] = row
        return conflicts


class FakeObjects:
    """An object store in memory."""

    def __init__(self):
        self.objects = {}

    async def put(self, key, data):
        self.objects[key] = data

    async def get(self, key):
        return self.objects[key]


class Caller:
    """An instance's keyed calls over a table, and what it sent."""

    def __init__(self, table, *, give_up_s=0.02, gone=False):
        self.table = table
        self.objects = FakeObjects()
        self.sent = 0
        self.tasks = set()
        self.writer = ClaimWriter(table, interval_s=0.001, retry_timeout_s=give_up_s)
        self.keyed = KeyedCalls(
            table,
            self.writer,
            self.objects,
            outcome_wait_s=0.3,
            is_instance_gone=lambda owner: gone,
            spawn=self._spawn,
        )

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def __aenter__(self):
        self._runner = asyncio.create_task(self.writer.run())
        return self

    async def __aexit__(self, *_):
        await self.settle()
        self._runner.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._runner

    async def settle(self):
        """Wait for what is done in the background."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    async def call(self, op_id="op1", *, digest="d", error=None, answer=OK):
        """Run a keyed call under the one key of these tests."""

        async def send():
            self.sent += 1
            if error is not None:
                raise error
            return answer

        claim = Claim("claim/w/k", op_id, digest, f"z1/e1/{op_id}")
        return await self.keyed.run(claim, send)


class TestKeyedCalls:
    async def test_resend_gets_the_stored_outcome(self):
        """A second operation is answered with the first one's outcome."""
        async with Caller(FakeTable()) as caller:
            assert await caller.call("op1") == OK
            await caller.settle()
            assert await caller.call("op2") == OK
            assert caller.sent == 1

    async def test_caller_who_goes_away_finds_the_outcome_later(self):
        """The call goes on without its caller; the resend gets its outcome."""
        async with Caller(FakeTable()) as caller:
            release = asyncio.Event()

            async def send():
                caller.sent += 1
                await release.wait()
                return OK

            claim = Claim("claim/w/k", "op1", "d", "z1/e1/op1")
            call = asyncio.create_task(caller.keyed.run(claim, send))
            while not caller.sent:
                await asyncio.sleep(0.001)
            call.cancel()
            with pytest.raises(asyncio.CancelledError):
                await call
            release.set()
            await caller.settle()
            assert await caller.call("op2") == OK
            assert caller.sent == 1

    async def test_large_outcome_goes_to_the_object_store(self):
        """The row stays small."""
        large = Answer(200, "text/plain", b"x" * 50_000)
        async with Caller(FakeTable()) as caller:
            await caller.call("op1", answer=large)
            await caller.settle()
            assert await caller.call("op2") == large
            assert len(str(caller.table.rows)) < 1000

    async def test_lost_answer_of_the_claim(self):
        """The claim that took effect is found to be one's own."""
        async with Caller(FakeTable("lost")) as caller:
            assert await caller.call() == OK
            assert caller.sent == 1

    async def test_resend_while_the_claims_answer_is_lost(self):
        """A resend here must not take the claim's owner for gone."""
        async with Caller(FakeTable("lost", "out"), gone=True, give_up_s=1.0) as caller:
            first = asyncio.create_task(caller.call("op1"))
            while not caller.table.rows:
                await asyncio.sleep(0.001)
            claim = Claim("claim/w/k", "op2", "d", "z1/e1/op2")
            row = caller.table.rows["claim/w/k"]
            assert await caller.keyed._await_outcome(claim, row) == OK
            assert await first == OK

    async def test_given_up_claim_can_not_appear_later(self):
        """Refused as not run, the operation's delayed write is shut out."""
        table = FakeTable("late", "late", "late")
        async with Caller(table, give_up_s=0.0) as caller:
            with pytest.raises(ClaimRefusedError) as caught:
                await caller.call("op1")
            assert caught.value.ran is Ran.NO
            await caller.settle()
            table.land()
            assert await caller.call("op2") == OK
            assert caller.sent == 1

    async def test_table_out(self):
        """Refused at once, nothing sent, nothing left in the way."""
        async with Caller(FakeTable("out")) as caller:
            with pytest.raises(ClaimRefusedError):
                await caller.call("op1")
            assert (caller.sent, caller.table.rows) == (0, {})
            assert await caller.call("op2") == OK

    async def test_not_run_releases_the_claim(self):
        """A call that was certainly not run may be claimed anew."""
        async with Caller(FakeTable()) as caller:
            with pytest.raises(ServiceUnreachableError):
                await caller.call("op1", error=ServiceUnreachableError())
            await caller.settle()
            assert await caller.call("op2") == OK

    async def test_lost_service_answer_keeps_the_claim(self):
        """A call that may have run is never sent again."""
        async with Caller(FakeTable()) as caller:
            with pytest.raises(ServiceLostError):
                await caller.call("op1", error=ServiceLostError())
            with pytest.raises(MayHaveRunError) as caught:
                await caller.call("op2")
            assert caught.value.ran is Ran.MAYBE
            assert caller.sent == 1

    async def test_gone_owner_is_told_at_once(self):
        """Nobody waits for an outcome that nobody can store."""
        table = FakeTable()
        async with Caller(table, gone=True) as caller:
            table.rows["claim/w/k"] = Row(
                "claim/w/k", 1, dict(Claim("claim/w/k", "x", "d", "o").insert().value)
            )
            with pytest.raises(MayHaveRunError, match="gone"):
                await caller.call("op2")

    async def test_other_request_under_the_key(self):
        """Another request under the same key is refused and not run."""
        async with Caller(FakeTable()) as caller:
            await caller.call("op1")
            await caller.settle()
            with pytest.raises(KeyReusedError):
                await caller.call("op2", digest="other")
            assert caller.sent == 1

    async def test_outcome_survives_a_restored_table(self):
        """A row that vanished while the call ran is written with the outcome."""
        table = FakeTable()
        async with Caller(table) as caller:
            await caller.call("op1")
            table.rows.clear()
            await caller.settle()
            assert await caller.call("op2") == OK
            assert caller.sent == 1

    async def test_many_operations_at_once(self):
        """Of many operations under one key, one sends, whatever is lost."""
        script = ["lost", "ok", "late", "lost"] * 10
        async with Caller(FakeTable(*script), give_up_s=1.0) as caller:
            calls = [caller.call(f"op{number}") for number in range(20)]
            answers = await asyncio.gather(*calls, return_exceptions=True)
            assert caller.sent == 1
            assert OK in answers


class TestClaimWriter:
    async def test_writes_of_one_row_never_share_a_transaction(self):
        """Otherwise both would find the row absent, and both would send."""
        table = FakeTable()
        async with Caller(table) as caller:
            claims = [Claim("same", f"op{n}", "d", "o").insert() for n in range(2)]
            rows = await asyncio.gather(*(caller.writer.write(c) for c in claims))
            assert rows[0] is None
            assert rows[1].value["op_id"] == "op0"
            assert [len(puts) for puts in table.transactions] == [1, 1]

    async def test_writes_are_grouped(self):
        """Many rows take few transactions; a conflict does not hold the rest up."""
        table = FakeTable()
        table.rows["k3"] = Row("k3", 1, {"op_id": "other", "state": "running"})
        async with Caller(table) as caller:
            claims = [Claim(f"k{n}", f"op{n}", "d", "o").insert() for n in range(50)]
            rows = await asyncio.gather(*(caller.writer.write(c) for c in claims))
            assert [row is None for row in rows].count(False) == 1
            assert len(table.rows) == 50
            assert len(table.transactions) <= 3


class TestZoneClaimWriter:
    @staticmethod
    @contextlib.asynccontextmanager
    async def writer(table, forward):
        """Provide a writer whose zone's writer is another instance."""
        async with Caller(table) as caller:
            writer = ZoneClaimWriter(
                caller.writer, writer_id=lambda: "b", own_id="a", forward=forward
            )
            task = asyncio.create_task(writer.run())
            yield writer
            task.cancel()

    async def test_peer_that_does_not_answer(self):
        """The instance writes itself, finding what the peer wrote."""
        table = FakeTable()
        put = Claim("k", "op", "d", "o").insert()

        async def forward(peer_id, puts):
            await table.transact(puts)

        async with self.writer(table, forward) as writer:
            assert await writer.write(put) is None

    async def test_peer_may_have_written_and_table_out(self):
        """That is not "not written"."""
        table = FakeTable("out")

        async def forward(peer_id, puts):
            return None

        async with self.writer(table, forward) as writer:
            with pytest.raises(AnswerLostError):
                await writer.write(Put("k", {"op_id": "op", "state": "running"}, 0))

    async def test_peers_replies_are_passed_on(self):
        """Conflict, refusal and loss reach whoever asked."""
        row = Row("k", 1, {"op_id": "x", "state": "running"})
        replies = [
            WriteReply(row, ""),
            WriteReply(None, "unavailable"),
            WriteReply(None, "lost"),
        ]

        async def forward(peer_id, puts):
            return [replies.pop(0) for _ in puts]

        put = Put("k", {"op_id": "op", "state": "running"}, 0)
        async with self.writer(FakeTable(), forward) as writer:
            assert await writer.write(put) == row
            with pytest.raises(TableUnavailableError):
                await writer.write(put)
            with pytest.raises(AnswerLostError):
                await writer.write(put)
