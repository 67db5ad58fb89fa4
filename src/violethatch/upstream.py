# SPDX-License-Identifier: MIT
"""Interfaces between the router and its callers, backend servers and the store.

Adapters implement these protocols. The router depends on no header or status code
beyond what these types expose.

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
#: A body that was read whole.
Body = bytes | bytearray
#: Tolerance of `Call.deadline_source`: on an instance that a call was forwarded to, the
#: route's timeout can appear this much shorter, as if the caller had set a lower limit.
_FORWARDING_TOLERANCE_S = 0.05


class Call(NamedTuple):
    """A caller's request, with its body fully read.

    Attributes:
        id: The id of the caller's attempt; forwarded unchanged.
        target: Path and query as received.
        headers: The headers to forward, without hop-by-hop headers and the API key.
        deadline_s: The caller's deadline, in monotonic seconds.
        last_event_id: The event after which a stream resumes.
        prompt_tokens: The prompt's size, if the caller sent it.
        forwarded_by: The instance that received the call from its caller, if another.
        prompt_parts: Ids of the parts of the prompt that other requests may share, if
            the caller sent them.
    """

    id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: Body
    key: str | None
    received_s: float
    deadline_s: float
    last_event_id: int | None
    prompt_tokens: int | None
    forwarded_by: str = ""
    prompt_parts: tuple[str, ...] = ()

    def work_id(self, workspace: str | None) -> str:
        """Return the id of the call's work, the same for a caller's retries."""
        return work_id(
            caller=workspace,
            method=self.method,
            host=self.host,
            target=self.target,
            body=self.body,
        )

    def deadline_within_s(self, timeout_s: float) -> float:
        """Return the call's deadline under a route's timeout, in monotonic seconds."""
        return min(self.deadline_s, self.received_s + timeout_s)

    def deadline_source(self, timeout_s: float) -> str:
        """Return a description of what sets the deadline: the route or the caller."""
        if self.deadline_s < self.received_s + timeout_s - _FORWARDING_TOLERANCE_S:
            return "the caller's time limit"
        return f"the route's timeout of {timeout_s:g} s"


class Send(NamedTuple):
    """A single attempt to send a call to a backend server."""

    call: Call
    server: BackendServer
    path: Path | None
    deadline_s: float
    priority: int
    workspace: str | None
    last_event_id: int | None
    #: Whether idle connections must not be reused: if such a connection is closed, it
    #: is unclear whether the call has run.
    needs_new_connection: bool


class ReachOutcome(enum.Enum):
    """The outcome of probing a server over a new connection."""

    ANSWERED = "answered"
    #: The server accepted the connection but did not respond in time; it may be busy.
    CONNECTED = "connected"
    SILENT = "silent"
    #: The server is in back-off, so that no probe was sent.
    UNASKED = "unasked"


class NotSentError(Exception):
    """The connection to the server failed: nothing has run."""


class SendKind(enum.StrEnum):
    """The kinds of messages that are sent to a server."""

    CALL = "call"
    #: A reroute order for a call that is in flight on another path.
    MOVE = "move"
    #: An order to load layers.
    ORDER = "order"
    #: A request for the server's report.
    REPORT = "report"


class ReportLateError(Exception):
    """The server accepted a request for its report and did not respond in time.

    Its process may have stopped, or be as late as all others are at the moment.
    """


class KeptBackError(NotSentError):
    """Nothing was sent: the server is in back-off, unavailable or rate limited.

    Args:
        reason: The reason, as a single token.
        left_s: The remaining time, in seconds; 0 if it is permanent.
    """

    def __init__(self, reason: str, left_s: float) -> None:
        super().__init__(f"kept back: {reason}")
        self.reason = reason
        self.left_s = left_s


#: Called before a call is sent to a server, with the number of sends that may have run
#: once it is sent.
OnSend = Callable[[int], Awaitable[None]]


async def ignore_sends(_sends: int) -> None:
    """Do nothing; the default for an `OnSend`."""


class AnswerLostError(Exception):
    """The call may have run, but its response is missing or incomplete.

    Attributes:
        sends: The number of sends to servers that may have run.
    """

    def __init__(self, message: str = "", *, sends: int = 1) -> None:
        super().__init__(message)
        self.sends = sends


class AnswerTooLongError(AnswerLostError):
    """The server sends more bytes than any answer has."""


class ConnectionBrokenError(AnswerLostError):
    """The connection was closed before the response was complete.

    The server may or may not have terminated.
    """


class ServerSignals(NamedTuple):
    """Flow-control signals from the headers of a server's response to any request.

    Attributes:
        status: The response's status code.
        backoff_s: For how long this instance must send nothing, in seconds; None if the
            response requests no back-off.
        is_binding: Whether the back-off is mandatory rather than advisory. A server
            that is full for all callers requests a mandatory one; a server that only
            limits its load may still serve other requests of the same instance.
        is_leaving: Whether the server is about to shut down.
        limit_per_s: The requests per second that the server accepts from all instances
            together; infinite if it advertises no limit, None if unspecified.
        invalid: The values that could not be parsed, shortened; empty if there are
            none.
        unknown_headers: Names of the platform's headers that are not supported.
        sent_ms: When the request was sent, in wall-clock time; 0 if unknown. The server
            may since have restarted without its entry having been updated.
        sent_s: The same in monotonic seconds.
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
        """The advertised limit, or None if there is none."""
        limit_per_s = self.limit_per_s
        return None if limit_per_s is None or math.isinf(limit_per_s) else limit_per_s

    @property
    def has_signals(self) -> bool:
        """Whether any signal other than a rate limit is present."""
        return self.backoff_s is not None or self.is_leaving or bool(self.invalid)


NO_SIGNALS = ServerSignals()


class FlowControl(Protocol):
    """Tracks the signals of servers and decides what may be sent to them."""

    async def admit(
        self,
        server: BackendServer,
        kind: SendKind,
        request_id: str,
        *,
        priority: int = 0,
    ) -> Permit | None:
        """Acquire the permit for a send to a server, when the send is scheduled.

        Args:
            server: The server to send to.
            kind: The kind of message.
            request_id: The id of the call; empty if there is none.
            priority: The priority of the call; 0 is the highest.

        Returns:
            The permit to send with, or None if none is required.

        Raises:
            KeptBackError: Nothing may be sent.
        """

    def check_send(
        self,
        server: BackendServer,
        kind: SendKind,
        request_id: str,
        permit: Permit | None = None,
    ) -> None:
        """Check that a message may be sent to a server, right before it is written.

        Args:
            server: The server to send to.
            kind: The kind of message.
            request_id: The id of the call; empty if there is none.
            permit: The permit to send with.

        Raises:
            KeptBackError: The message must not be sent.
        """

    def release_permit(
        self, server: BackendServer, permit: Permit | None, *, was_written: bool
    ) -> None:
        """Consume a permit, or return it for another send if nothing was written."""

    def record_signals(
        self, server: BackendServer, signals: ServerSignals, request_id: str
    ) -> None:
        """Record a server's signals as soon as the response headers are received.

        Args:
            server: The server that responded.
            signals: The signals in its response.
            request_id: The id of the call; empty if there was none.
        """


class NoFlowControl:
    """Allows all sends and ignores all signals."""

    async def admit(
        self,
        _server: BackendServer,
        _kind: SendKind,
        _request_id: str,
        *,
        priority: int = 0,
    ) -> Permit | None:
        """Allow the send without a permit."""
        return None

    def check_send(
        self,
        _server: BackendServer,
        _kind: SendKind,
        _request_id: str,
        _permit: Permit | None = None,
    ) -> None:
        """Allow the send."""

    def release_permit(
        self, _server: BackendServer, _permit: Permit | None, *, was_written: bool
    ) -> None:
        """Do nothing, since no permits are issued."""

    def record_signals(
        self, _server: BackendServer, _signals: ServerSignals, _request_id: str
    ) -> None:
        """Ignore the signals."""


class Refusal(NamedTuple):
    """A server's statement that it has not run the call.

    Attributes:
        address: The address of the runner at fault, if the response names another one.
        is_misdirected: Whether the request reached the wrong server, or one without the
            required layers.
        signals: The flow-control signals in the response.
    """

    address: str | None
    is_misdirected: bool
    signals: ServerSignals = NO_SIGNALS


class ServerLoad(NamedTuple):
    """The load that a server reports."""

    running: int
    waiting: int
    slots: int


class Answer(Protocol):
    """A backend server's response, whose body has yet to be read.

    Attributes:
        is_framed: Whether the response delimits its own body. A body that is delimited
            by the close of the connection may have been truncated.
        length: The declared length of its body, in bytes; None if it declares none.
    """

    status: int
    is_framed: bool
    length: int | None
    headers: Headers
    refusal: Refusal | None
    load: ServerLoad | None

    def parts(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks of the body as they are received.

        Raises:
            AnswerLostError: The body was interrupted.
        """

    def close(self, *, is_whole: bool) -> None:
        """Release the response; abort it unless it is complete."""


class OrderOutcome(enum.StrEnum):
    """The outcome of an order."""

    DONE = "done"
    BEGUN = "begun"
    #: The order conflicts with the runner's state.
    CONFLICT = "conflict"
    #: A newer holder of the lease has issued orders.
    FENCED = "fenced"
    #: The runner rejected the order.
    REFUSED = "refused"
    #: The order was not sent: the runner is in back-off.
    KEPT_BACK = "kept_back"
    #: No response: the order may be executed, possibly late.
    UNKNOWN = "unknown"


class OrderAnswer(NamedTuple):
    """The outcome of an order, and the address of the blocking runner, if named."""

    outcome: OrderOutcome
    address: str | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the runner is executing the order or has executed it."""
        return self.outcome in (OrderOutcome.DONE, OrderOutcome.BEGUN)


class RunnerReport(NamedTuple):
    """A runner's report on itself, which is delayed.

    Attributes:
        sequence: The number of orders accepted since the runner started.
        is_busy: Whether an order is being executed.
        waiting: The number of queued requests.
        running: The number of running requests.
        kv_used_part: The fraction of the KV cache that is in use.
        slowness: The factor by which the runner is slower than its kind, if above 1.
        stalled: By call, the address of the runner that the call is waiting for.
        started_ms: When the runner started, by its own wall clock; 0 if not reported.
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
    """Sends calls and orders to backend servers.

    Each method consults the flow control right before it writes anything and passes it
    the signals of each response.

    Attributes:
        gate: The flow control to consult; set by the client's user.
    """

    gate: FlowControl

    async def send(self, send: Send) -> Answer:
        """Send a call; return the response once its headers are received.

        Raises:
            KeptBackError: Nothing was written.
            NotSentError: Nothing has run.
            AnswerLostError: The call may have run.
        """

    async def is_refusing(self, server: BackendServer) -> bool:
        """Return whether a server refuses connections because its port is not open."""

    async def reach(self, server: BackendServer, *, health_path: str) -> ReachOutcome:
        """Probe a server over a new connection; any response counts.

        Args:
            server: The server to probe.
            health_path: The health endpoint of a plain service's servers; if it is
                empty, an established connection suffices.
        """

    async def report(self, server: BackendServer) -> RunnerReport | None:
        """Return a runner's report, or None if the request failed.

        Raises:
            KeptBackError: No request was sent.
            ReportLateError: The runner accepted the request and did not respond in
                time.
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
        """Order a runner to load a range of layers."""


class Responder(Protocol):
    """Writes the response to a caller."""

    async def answer(
        self, status: int, headers: Headers, body: bytes, *, is_framed: bool = True
    ) -> None:
        """Write a response; one that isn't framed ends with the connection."""

    async def start(
        self,
        status: int,
        headers: Headers,
        *,
        is_framed: bool = True,
        length: int | None = None,
    ) -> None:
        """Start a response whose body is streamed; its length may be known."""

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body."""

    async def finish(self) -> None:
        """Complete the response."""

    def abort(self) -> None:
        """Abort the response, so that it can't be mistaken for a complete one."""


class HistoryGoneError(Exception):
    """The requested changes are no longer available; read the full table again.

    The store has compacted them, or has been restored from a backup since.
    """


class TableView(NamedTuple):
    """A table, or changes to it, as returned by the store.

    Attributes:
        values: The values by key; None for a deleted row.
        version: The version from which to request further changes.
        store_s: The store's monotonic clock at the response, in seconds.
        is_whole: Whether these are all rows although changes were requested.
        is_relayed: Whether another instance relayed the response, so that the store's
            time may precede the request.
        unavailable_s: If relayed, when the store was last known to be unavailable, by
            its own clock; None if it never was.
        era: The store's era that the version and the time belong to.
        source: The instance that relayed the response; `store` for the store itself.
        is_restored: Whether these are all rows of a store that was restored to an older
            state: rows may be missing or outdated until they are written again.
    """

    values: Mapping[str, bytes | None]
    version: int
    store_s: float
    is_whole: bool = False
    is_relayed: bool = False
    unavailable_s: float | None = None
    era: int = NO_ERA
    source: str = "store"
    is_restored: bool = False

    @property
    def position(self) -> Position:
        """The position in the store's history from which to request further changes."""
        return Position(self.era, self.version)

    @property
    def proof(self) -> ProofTime:
        """The store's time at which these rows were current."""
        return ProofTime(self.era, self.store_s)


class TableSource(Protocol):
    """Reads the store's tables."""

    async def read_table(self, table: str) -> TableView:
        """Return a full table.

        Raises:
            TableUnavailableError: The store refused the request or did not respond.
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
            after: The last known version.
            wait_s: For how long to wait for a change, in seconds.
            era: The store's era that *after* belongs to.
            is_direct: Whether to query the store itself before any instance.

        Raises:
            HistoryGoneError: Changes since *after* are no longer available.
            TableUnavailableError: The store refused the request or did not respond.
        """


class TableStore(TableSource, Protocol):
    """Reads the tables from the store itself."""

    async def read_table(
        self, table: str, *, answer_s: float | None = None
    ) -> TableView:
        """Return a full table.

        Args:
            table: The table's name.
            answer_s: For how long to wait for the response to each page, in seconds;
                the timeout of any call if omitted.

        Raises:
            ReadLostError: The connection broke or became unresponsive.
            TableUnavailableError: The store refused the request or did not respond.
        """

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
            after: The last known version.
            wait_s: For how long to wait for a change, in seconds.
            answer_s: How much later than that the response may start, in seconds; the
                default timeout of a call if omitted.
            era: The store's era that *after* belongs to.
            is_direct: Ignored.

        Raises:
            HistoryGoneError: Changes since *after* are no longer available.
            TableUnavailableError: The store refused the request or did not respond.
        """


class Decoder(Protocol):
    """Decodes the store's rows."""

    def desired_steps(
        self, value: bytes, *, above: int | None
    ) -> Steps[DesiredState | None]:
        """Decode a desired state in short steps, or None if its version is not newer.

        Args:
            value: The row.
            above: The active version; any version counts as newer if omitted.

        Raises:
            ValueError: The row is invalid.
        """

    def backend_server(self, server_id: str, value: bytes) -> BackendServer:
        """Decode a listed server.

        Raises:
            ValueError: The row is invalid.
        """
