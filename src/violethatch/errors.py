# SPDX-License-Identifier: MIT
"""Numbered errors, and what each says about whether a request has run.

Every error a caller or an operator can meet is a subclass of
`VioletHatchError` with a code of its own.  The table of codes in
``docs/errors.md`` is held against this module by a test.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum

from collections.abc import Mapping
from typing import ClassVar, TypedDict


class Ran(enum.StrEnum):
    """What is known of a failed request's execution.

    .. versionadded:: 26.1.0
    """

    #: No backend server has started the request, nor ever will.
    NO = "no"
    #: A backend server may have run all of the request or a part of it.
    MAYBE = "maybe"


class Problem(TypedDict):
    """An error as callers receive it (RFC 9457, with two members of ours)."""

    type: str
    title: str
    status: int
    detail: str
    code: int
    ran: str


class VioletHatchError(Exception):
    """Base of all coded errors.

    Args:
        detail: What happened, for a person to read.
        ran: Whether the request may have run; the class's default if omitted.
        retry_after_s: When it makes sense to come back, in seconds.

    .. versionadded:: 26.1.0
    """

    code: ClassVar[int] = 1000
    title: ClassVar[str] = "Internal error"
    status: ClassVar[int] = 500
    default_ran: ClassVar[Ran] = Ran.MAYBE
    registry: ClassVar[dict[int, type[VioletHatchError]]] = {}

    def __init__(
        self,
        detail: str = "",
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail or self.title)
        self.detail = detail or self.title
        self.ran = ran or self.default_ran
        self.retry_after_s = retry_after_s

    def __init_subclass__(cls) -> None:
        """Register the subclass's code, which must be its own."""
        super().__init_subclass__()
        if "code" not in cls.__dict__:
            return
        if cls.code in VioletHatchError.registry:
            msg = f"error code {cls.code} is taken"
            raise TypeError(msg)
        VioletHatchError.registry[cls.code] = cls

    def problem(self) -> Problem:
        """Return the error as a problem document."""
        return Problem(
            type=f"urn:violethatch:error:{self.code}",
            title=self.title,
            status=self.status,
            detail=self.detail,
            code=self.code,
            ran=self.ran.value,
        )


VioletHatchError.registry[VioletHatchError.code] = VioletHatchError


# 11xx: the caller's request.


class BadRequestError(VioletHatchError):
    """The request's body or headers can't be understood."""

    code = 1101
    title = "Bad request"
    status = 400
    default_ran = Ran.NO


class UnauthorizedError(VioletHatchError):
    """The key is missing or belongs to no workspace."""

    code = 1102
    title = "Key missing or unknown"
    status = 401
    default_ran = Ran.NO


class UnknownTargetError(VioletHatchError):
    """No such model, service or path is declared for the workspace."""

    code = 1103
    title = "Unknown model, service or path"
    status = 404
    default_ran = Ran.NO


class BodyTooLargeError(VioletHatchError):
    """The body is larger than the listener's limit."""

    code = 1104
    title = "Body too large"
    status = 413
    default_ran = Ran.NO


class RateLimitedError(VioletHatchError):
    """The workspace has used up its rate or its concurrency."""

    code = 1105
    title = "Workspace limit reached"
    status = 429
    default_ran = Ran.NO


class KeyReusedError(VioletHatchError):
    """The idempotency key was used before with another request."""

    code = 1106
    title = "Idempotency key used with another request"
    status = 422
    default_ran = Ran.NO


class RequestLateError(VioletHatchError):
    """The request's body did not come before its deadline."""

    code = 1107
    title = "Request not whole in time"
    status = 408
    default_ran = Ran.NO


# 12xx: capacity and routes.


class NoRouteError(VioletHatchError):
    """No chain of runners covers the model's layers."""

    code = 1201
    title = "No route through the model's layers"
    status = 503
    default_ran = Ran.NO


class OverloadedError(VioletHatchError):
    """The instance sheds the request before it starts."""

    code = 1202
    title = "Overloaded"
    status = 503
    default_ran = Ran.NO


class NotAdmittedError(VioletHatchError):
    """More urgent requests take all that the runners can start now."""

    code = 1207
    title = "Not admitted under the present load"
    status = 503
    default_ran = Ran.NO


class DrainingError(VioletHatchError):
    """The instance is leaving and takes no new requests."""

    code = 1203
    title = "Instance is leaving"
    status = 503
    default_ran = Ran.NO


class NotConfiguredError(VioletHatchError):
    """The instance has not learnt any configuration yet."""

    code = 1204
    title = "No configuration in force"
    status = 503
    default_ran = Ran.NO


class UnprovenStateError(VioletHatchError):
    """The instance can't prove that its configuration is current."""

    code = 1205
    title = "Configuration not proven current"
    status = 503
    default_ran = Ran.NO


class HeldBackError(VioletHatchError):
    """Servers have ended under this very request, one after another."""

    code = 1206
    title = "Held back: servers end under this request"
    status = 503
    default_ran = Ran.NO


class LinksLostError(VioletHatchError):
    """The instance reaches no server of the service, and no other that does.

    Args:
        detail: What happened, for a person to read.
        ran: Whether the request may have run; it has not if omitted.
        retry_after_s: When it makes sense to come back, in seconds.
        lost_peers: By id, for how long other instances are known to reach none of
            them either, in seconds.
    """

    code = 1208
    title = "No link to the service's servers"
    status = 503
    default_ran = Ran.NO

    def __init__(
        self,
        detail: str = "",
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
        lost_peers: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(detail, ran=ran, retry_after_s=retry_after_s)
        self.lost_peers = lost_peers or {}


# 13xx: execution.


class PipelineFailedError(VioletHatchError):
    """A stage failed and the request could not be continued."""

    code = 1301
    title = "Pipeline failed"
    status = 502


class DeadlineError(VioletHatchError):
    """The request's deadline passed before its answer was whole."""

    code = 1302
    title = "Deadline passed"
    status = 504


class ServiceUnreachableError(VioletHatchError):
    """No backend server of the plain service could be connected to."""

    code = 1303
    title = "Service unreachable"
    status = 503
    default_ran = Ran.NO


class ServiceLostError(VioletHatchError):
    """The backend server was lost after the request had been sent."""

    code = 1304
    title = "Answer of the service lost"
    status = 502


class MayHaveRunError(VioletHatchError):
    """An earlier call with the same idempotency key may have run."""

    code = 1305
    title = "An earlier call with this key may have run"
    status = 409


class ServerRefusedError(VioletHatchError):
    """Every backend server refused the request before starting it."""

    code = 1306
    title = "Refused by the backend servers"
    status = 503
    default_ran = Ran.NO


class AnswerCutError(VioletHatchError):
    """The instance had to stop before the request's answer was whole."""

    code = 1307
    title = "Instance stopped before the answer's end"
    status = 502


# 14xx: the platform.


class TableUnavailableError(VioletHatchError):
    """The platform's table service does not answer.

    Attributes:
        unavailable_s: When the table service was known to be unavailable, in monotonic
            seconds; None if unknown.
    """

    code = 1401
    title = "Table service unavailable"
    status = 503
    default_ran = Ran.NO
    unavailable_s: float | None = None


class ReadLostError(TableUnavailableError):
    """A read's connection broke or fell silent; the table service may be well.

    Attributes:
        is_timeout: Whether the connection was open and no response came in time.
    """

    code = 1403
    title = "Read of a table lost"

    def __init__(self, detail: str = "", *, is_timeout: bool = False) -> None:
        super().__init__(detail)
        self.is_timeout = is_timeout


class ClaimRefusedError(VioletHatchError):
    """The claim that must come before a keyed call can't be made."""

    code = 1402
    title = "Idempotency key can't be claimed now"
    status = 503
    default_ran = Ran.NO


# 15xx: operators.


class BadIntentError(VioletHatchError):
    """An intent is malformed or contradicts the configuration."""

    code = 1501
    title = "Bad intent"
    status = 400
    default_ran = Ran.NO


class StalePlanError(VioletHatchError):
    """The configuration moved on since the plan was made."""

    code = 1502
    title = "Plan is stale"
    status = 409
    default_ran = Ran.NO


class ConfirmUnknownError(VioletHatchError):
    """The table took the change or not; its answer was lost."""

    code = 1503
    title = "Outcome of the confirmation unknown"
    status = 503


# 16xx: settings.


class SettingsError(VioletHatchError):
    """A settings file is missing, malformed or contradictory."""

    code = 1601
    title = "Bad settings"
    default_ran = Ran.NO


class AddressError(VioletHatchError):
    """An address of the instance can't be listened on."""

    code = 1602
    title = "Address can't be listened on"
    default_ran = Ran.NO


# 17xx: between instances.


class PeerRefusedError(VioletHatchError):
    """A peer could not prove that it knows the peers' key."""

    code = 1701
    title = "Peer refused"
    status = 403
    default_ran = Ran.NO
