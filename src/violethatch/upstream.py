# SPDX-License-Identifier: MIT
"""What the router needs of callers, backend servers and the store.

Adapters implement these protocols; the router knows no header and no status
beyond what the types here say.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum
import math

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from .backends import BackendServer
from .desired import DesiredState
from .layers import LayerRange
from .limit_permits import Permit
from .paths import Path
from .slices import Steps
from .store_era import NO_ERA, Position, ProofTime
from .work_ids import work_id


Headers = Sequence[tuple[str, str]]
#: By how much a route's timeout may look like a shorter limit of the caller's to the
#: instance that a call was forwarded to, in seconds.
_WAY_S = 0.05


class Call(NamedTuple):
    """A caller's request, read whole.

    Attributes:
        id: Names the caller's attempt; passed on as it is.
        target: Path and query as they were sent.
        headers: What is passed on: no header of a single connection, no key.
        deadline_s: Until when the caller waits, in monotonic seconds.
        last_event_id: The event after which a resumed stream goes on.
        prompt_tokens: The prompt's size, where the caller tells it.
        forwarded_by: The instance that took it from its caller, if another one did.
        prompt_parts: The parts of the prompt that other requests may share, where
            the caller names them.
    """

    id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    key: str | None
    received_s: float
    deadline_s: float
    last_event_id: int | None
    prompt_tokens: int | None
    forwarded_by: str = ""
    prompt_parts: tuple[str, ...] = ()

    def work_id(self, workspace: str | None) -> str:
        """Return the id of the call's work, the same when its caller comes back."""
        return work_id(
            caller=workspace,
            method=self.method,
            host=self.host,
            target=self.target,
            body=self.body,
        )

    def deadline_within_s(self, timeout_s: float) -> float:
        """Return until when the call may take, in monotonic seconds."""
        return min(self.deadline_s, self.received_s + timeout_s)

    def deadline_source(self, timeout_s: float) -> str:
        """Return what ends the call's time: the route's timeout, or its caller."""
        if self.deadline_s < self.received_s + timeout_s - _WAY_S:
            return "the caller's time limit"
        return f"the route's timeout of {timeout_s:g} s"


class Send(NamedTuple):
    """One send of a call to a backend server."""

    call: Call
    server: BackendServer
    path: Path | None
    deadline_s: float
    priority: int
    workspace: str | None
    last_event_id: int | None
    #: Whether to use no connection that rested: its close would leave open
    #: whether the call has run.
    needs_new_connection: bool


class ReachOutcome(enum.Enum):
    """What asking a server over a new connection came to."""

    ANSWERED = "answered"
    #: It took the connection and gave no answer in time: it may be busy.
    CONNECTED = "connected"
    SILENT = "silent"
    #: It wants nothing now, so that it was not asked.
    UNASKED = "unasked"


class NotSentError(Exception):
    """The server could not be connected to: nothing has run."""


class SendKind(enum.StrEnum):
    """What is written to a server."""

    CALL = "call"
    #: An order onto another path, for a call that is under way there.
    MOVE = "move"
    #: An order to hold layers.
    ORDER = "order"
    #: A question for the server's report.
    REPORT = "report"


class KeptBackError(NotSentError):
    """Nothing was written: the server wants nothing, or is no longer to get anything.

    Args:
        reason: Why, in a word.
        left_s: For how much longer, in seconds; 0 where that is for good.
    """

    def __init__(self, reason: str, left_s: float) -> None:
        super().__init__(f"kept back: {reason}")
        self.reason = reason
        self.left_s = left_s


#: Told before a call is sent to a server how many sends may have run then.
OnSend = Callable[[int], Awaitable[None]]


async def ignore_sends(_sends: int) -> None:
    """Stand in for an `OnSend` where nobody wants to know."""


class AnswerLostError(Exception):
    """The call may have run; its answer did not come or is not whole.

    Attributes:
        sends: The sends to servers that may have run.
    """

    def __init__(self, message: str = "", *, sends: int = 1) -> None:
        super().__init__(message)
        self.sends = sends


class ConnectionBrokenError(AnswerLostError):
    """The connection ended before the answer was whole.

    The server may have ended with it, or not.
    """


class ServerSignals(NamedTuple):
    """What a server says of itself in the head of an answer, whatever that answers.

    Attributes:
        status: The answer's status.
        backoff_s: For how long it wants nothing from this instance, in seconds; None if
            it asks for no rest.
        is_binding: Whether that is a promise to keep, else a wish: a server that has
            no room for anybody asks for it, one that only limits how much it gets
            serves others of the same caller meanwhile.
        is_leaving: It will end.
        limit_per_s: How many requests a second it takes from all instances together;
            infinite if it names no limit, None if the answer doesn't tell.
        invalid: What of it can't be understood, shortened; empty if all can.
        unknown_headers: Names of words of the platform's that nothing reads.
        sent_ms: When the server was asked, by the time of day; 0 if that isn't known.
            Its start may be a later one than the list tells yet.
        sent_s: The same by the steady clock, in seconds.
    """

    status: int = 0
    backoff_s: float | None = None
    is_binding: bool = False
    is_leaving: bool = False
    limit_per_s: float | None = None
    invalid: str = ""
    unknown_headers: tuple[str, ...] = ()
    sent_ms: int = 0
    sent_s: float = 0.0

    @property
    def finite_limit_per_s(self) -> float | None:
        """The limit that it names, if it names one."""
        limit_a_s = self.limit_per_s
        return None if limit_a_s is None or math.isinf(limit_a_s) else limit_a_s

    @property
    def has_signals(self) -> bool:
        """Whether it says anything beside how many requests it takes."""
        return self.backoff_s is not None or self.is_leaving or bool(self.invalid)


NO_SIGNALS = ServerSignals()


class FlowControl(Protocol):
    """Knows what servers have said of themselves, and what may be sent to them."""

    async def admit(
        self,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
        *,
        priority: int = 0,
    ) -> Permit | None:
        """Ask for what a send to a server needs, when it is decided.

        Args:
            server: Whom it is for.
            sending: What it is.
            request_id: Names the call; empty where it is none.
            priority: The call's; 0 is the most urgent.

        Returns:
            The permit to send with, or None where none is needed.

        Raises:
            KeptBackError: Nothing may be sent.
        """

    def check_send(
        self,
        server: BackendServer,
        sending: SendKind,
        request_id: str,
        permit: Permit | None = None,
    ) -> None:
        """Check that something may be sent to a server, right before it is written.

        Args:
            server: Whom it is for.
            sending: What it is.
            request_id: Names the call; empty where it is none.
            permit: What it is sent with.

        Raises:
            KeptBackError: It may not.
        """

    def release_permit(
        self, server: BackendServer, permit: Permit | None, *, was_written: bool
    ) -> None:
        """Use a permit up, or keep it for another send if nothing was written."""

    def record_signals(
        self, server: BackendServer, signals: ServerSignals, request_id: str
    ) -> None:
        """Take a server's word in, as soon as an answer's head is there.

        Args:
            server: Who has answered.
            signals: What it says.
            request_id: Names the call; empty where it was none.
        """


class NoFlowControl:
    """Lets everything through, and hears nothing."""

    async def admit(
        self,
        _server: BackendServer,
        _sending: SendKind,
        _request_id: str,
        *,
        priority: int = 0,
    ) -> Permit | None:
        """Let everything through."""
        return None

    def check_send(
        self,
        _server: BackendServer,
        _sending: SendKind,
        _request_id: str,
        _permit: Permit | None = None,
    ) -> None:
        """Let everything through."""

    def release_permit(
        self, _server: BackendServer, _permit: Permit | None, *, was_written: bool
    ) -> None:
        """Keep no permits."""

    def record_signals(
        self, _server: BackendServer, _signals: ServerSignals, _request_id: str
    ) -> None:
        """Pass over a server's word."""


class Refusal(NamedTuple):
    """A server's word that it has not run the call.

    Attributes:
        address: Who is at fault, where the answer names another runner.
        is_misdirected: The server is another one, or lacks the layers.
        signals: What the server says of itself beside that.
    """

    address: str | None
    is_misdirected: bool
    signals: ServerSignals = NO_SIGNALS


class ServerLoad(NamedTuple):
    """A server's own word on its load."""

    running: int
    waiting: int
    slots: int


class Answer(Protocol):
    """A backend server's answer, its body still to come.

    Attributes:
        is_framed: Whether the answer itself tells where it ends.  One that
            ends with its connection may have been cut off.
    """

    status: int
    is_framed: bool
    headers: Headers
    refusal: Refusal | None
    load: ServerLoad | None

    def parts(self) -> AsyncIterator[bytes]:
        """Return the body as it comes.

        Raises:
            AnswerLostError: The body broke off.
        """

    def close(self, *, is_whole: bool) -> None:
        """Let go of the answer; unless it is whole, break it off."""


class OrderOutcome(enum.StrEnum):
    """What came of an order."""

    DONE = "done"
    BEGUN = "begun"
    #: It doesn't fit the runner's state.
    CONFLICT = "conflict"
    #: A newer holder of the lease has given orders.
    FENCED = "fenced"
    #: The runner refused it.
    REFUSED = "refused"
    #: It was not given: the runner wants nothing now.
    KEPT_BACK = "kept_back"
    #: No answer: it may be carried out, also late.
    UNKNOWN = "unknown"


class OrderAnswer(NamedTuple):
    """An order's outcome, and the runner it names as the obstacle."""

    outcome: OrderOutcome
    address: str | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the runner carries the order out, or has done so."""
        return self.outcome in (OrderOutcome.DONE, OrderOutcome.BEGUN)


class RunnerReport(NamedTuple):
    """A runner's own report, which lags.

    Attributes:
        sequence: Orders it has taken since its start.
        is_busy: An order is under way.
        waiting: Requests that wait at it.
        running: Requests that it runs.
        kv_used_part: The part of its KV cache that is taken.
        slowness: Above 1, how much slower it is than its kind.
        stalled: By call, the address of the runner that it waits for.
        started_ms: When it started, by its own time of day; 0 where it doesn't tell.
    """

    sequence: int
    is_busy: bool
    waiting: int
    running: int
    kv_used_part: float
    slowness: float
    layers: LayerRange | None
    stalled: Mapping[str, str]
    started_ms: int = 0


class RunnerClient(Protocol):
    """Calls backend servers.

    Each of its methods asks the gate right before it writes anything, and tells it
    of each answer's head.

    Attributes:
        gate: Whoever uses the client sets it.
    """

    gate: FlowControl

    async def send(self, send: Send) -> Answer:
        """Send a call; return its answer once the head is there.

        Raises:
            KeptBackError: Nothing was written.
            NotSentError: Nothing has run.
            AnswerLostError: It may have run.
        """

    async def is_refusing(self, server: BackendServer) -> bool:
        """Tell whether a server refuses connections: nobody listens there."""

    async def reach(self, server: BackendServer, *, health_path: str) -> ReachOutcome:
        """Ask a server over a new connection; any answer will do.

        Args:
            server: Whom to ask.
            health_path: Where a plain service's servers are asked; where it is empty,
                a connection is enough.
        """

    async def report(self, server: BackendServer) -> RunnerReport | None:
        """Return a runner's report, or None if none came in time.

        Raises:
            KeptBackError: It was not asked.
        """

    async def repath(
        self, server: BackendServer, call_id: str, path: Path
    ) -> OrderAnswer:
        """Order a running call onto another path with the same first runner."""

    async def place(
        self,
        server: BackendServer,
        layers: LayerRange,
        *,
        fence: int,
        expected_sequence: int,
    ) -> OrderAnswer:
        """Order a runner to hold a range of layers."""


class Responder(Protocol):
    """Answers a caller."""

    async def answer(
        self, status: int, headers: Headers, body: bytes, *, is_framed: bool = True
    ) -> None:
        """Give an answer; one that isn't framed ends with its connection."""

    async def start(
        self, status: int, headers: Headers, *, is_framed: bool = True
    ) -> None:
        """Begin an answer that comes in parts."""

    async def write(self, data: bytes) -> None:
        """Give a part of the answer."""

    async def finish(self) -> None:
        """End the answer as whole."""

    def abort(self) -> None:
        """Break the answer off, so that it can't be taken for whole."""


class HistoryGoneError(Exception):
    """The changes asked for can't be had any more; read the table again.

    The store has forgotten them, or was restored from a copy since.
    """


class TableView(NamedTuple):
    """A table, or its changes, as the store answered.

    Attributes:
        values: By key, the values; None for a row that is gone.
        version: From where changes go on.
        store_s: The store's steady clock when it answered, in seconds.
        is_whole: Whether these are all rows although changes were asked for.
        is_relayed: Whether another instance has passed it on, so that the
            store's time may be from before the question.
        returned_s: Where it was relayed, since when the store answers again.
        era: The store's era that the version and the time belong to.
        source: The instance that passed it on; `store` for the store itself.
        is_restored: Whether these are all rows of a store that went back in its
            history: rows may be missing or old until they are written again.
    """

    values: Mapping[str, bytes | None]
    version: int
    store_s: float
    is_whole: bool = False
    is_relayed: bool = False
    returned_s: float | None = None
    era: int = NO_ERA
    source: str = "store"
    is_restored: bool = False

    @property
    def position(self) -> Position:
        """The place in the store's history from where changes go on."""
        return Position(self.era, self.version)

    @property
    def proof(self) -> ProofTime:
        """The store's time at which these rows were current."""
        return ProofTime(self.era, self.store_s)


class TableSource(Protocol):
    """Reads the store's tables."""

    async def read_table(self, table: str) -> TableView:
        """Return a whole table.

        Raises:
            TableUnavailableError: The store refuses or is silent.
        """

    async def read_changes(
        self,
        table: str,
        *,
        after: int,
        wait_s: float,
        era: int = NO_ERA,
        is_direct: bool = False,
    ) -> TableView:
        """Return changes as soon as there are any, or none after *wait_s*.

        Args:
            table: The table's name.
            after: The version that is known.
            wait_s: How long the answer may wait for a change, in seconds.
            era: The store's era that *after* belongs to.
            is_direct: Whether to ask the store itself before any instance.

        Raises:
            HistoryGoneError: Changes since *after* can't be had any more.
            TableUnavailableError: The store refuses or is silent.
        """


class TableStore(TableSource, Protocol):
    """Reads the tables at the store itself."""

    async def read_changes(
        self,
        table: str,
        *,
        after: int,
        wait_s: float,
        answer_s: float | None = None,
        era: int = NO_ERA,
        is_direct: bool = True,
    ) -> TableView:
        """Return changes as soon as there are any, or none after *wait_s*.

        Args:
            table: The table's name.
            after: The version that is known.
            wait_s: How long the answer may wait for a change, in seconds.
            answer_s: How much later than that it may begin, in seconds; the usual
                limit of a call if omitted.
            era: The store's era that *after* belongs to.
            is_direct: Changes nothing here.

        Raises:
            HistoryGoneError: Changes since *after* can't be had any more.
            TableUnavailableError: The store refuses or is silent.
        """


class Decoder(Protocol):
    """Reads the store's rows into the project's types."""

    def desired_steps(
        self, value: bytes, *, above: int | None
    ) -> Steps[DesiredState | None]:
        """Read a desired state in short steps; None if its version is not newer.

        Args:
            value: The row.
            above: The version in force; any version is newer if omitted.

        Raises:
            ValueError: It can't be understood.
        """

    def backend_server(self, server_id: str, value: bytes) -> BackendServer:
        """Read a listed server.

        Raises:
            ValueError: It can't be understood.
        """
