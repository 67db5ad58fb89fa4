# SPDX-License-Identifier: MIT
"""Configuration: intents, plans, and revisions that only grow.

An operator states an intent and gets a plan: the changes, the revision that
they start from, and a digest of the configuration that they lead to.  The
plan is not stored.  A confirmation repeats the intent with the base revision
and the digest, so it may reach any instance, which plans again and refuses
the confirmation as stale if anything differs.

.. versionadded:: 26.1.0
"""

from __future__ import annotations

import enum
import hashlib

from collections.abc import Callable
from typing import Annotated, Any, Literal, TypedDict, TypeVar

import msgspec

from .errors import BadIntentError, StalePlanError


Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class ModelSpec(TypedDict):
    """A model service: engines that hold ranges of its layers."""

    version: Name
    layer_count: Annotated[int, msgspec.Meta(ge=1, le=1000)]
    adapters: list[Name]


class ServiceSpec(TypedDict):
    """A plain service; only a repeatable one may be sent a call twice."""

    repeatable: bool


class WorkspaceSpec(TypedDict):
    """A workspace: who calls, with which key, how much."""

    key_sha256: Digest
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)]
    requests_per_s: Annotated[float, msgspec.Meta(gt=0)]
    concurrent: Annotated[int, msgspec.Meta(ge=1)]


class RunnerSpec(TypedDict):
    """An operator's word on a runner."""

    leaving: bool


class Document(TypedDict):
    """A whole configuration."""

    models: dict[Name, ModelSpec]
    services: dict[Name, ServiceSpec]
    workspaces: dict[Name, WorkspaceSpec]
    runners: dict[Name, RunnerSpec]


class _IntentSet(TypedDict, total=False):
    models: dict[Name, ModelSpec]
    services: dict[Name, ServiceSpec]
    workspaces: dict[Name, WorkspaceSpec]
    runners: dict[Name, RunnerSpec]


class _IntentRemove(TypedDict, total=False):
    models: list[Name]
    services: list[Name]
    workspaces: list[Name]
    runners: list[Name]


class Intent(TypedDict, total=False):
    """What an operator wants: entries to set and entries to remove."""

    set: _IntentSet
    remove: _IntentRemove


class Change(TypedDict):
    """One line of a plan."""

    action: Literal["add", "change", "remove"]
    section: str
    name: str
    text: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class Plan(TypedDict):
    """What an intent would change."""

    base_revision: int
    digest: str
    changes: list[Change]


class Confirmation(TypedDict):
    """A plan that an operator agrees to."""

    intent: Intent
    base_revision: int
    digest: str


class Revision(TypedDict):
    """A configuration that was accepted."""

    revision: int
    digest: str
    op_id: str
    document: Document


T = TypeVar("T")

_decode_intent = msgspec.json.Decoder(Intent).decode
_decode_confirmation = msgspec.json.Decoder(Confirmation).decode

_SECTIONS = ("models", "services", "workspaces", "runners")

#: Every instance's configuration before it has learnt one.
NO_REVISION = Revision(
    revision=0,
    digest="",
    op_id="",
    document=Document(models={}, services={}, workspaces={}, runners={}),
)


def parse_intent(data: bytes | str) -> Intent:
    """Decode an intent from JSON.

    Raises:
        BadIntentError: It is malformed; says where.

    .. versionadded:: 26.1.0
    """
    return _parse(data, _decode_intent)


def parse_confirmation(data: bytes | str) -> Confirmation:
    """Decode a confirmation from JSON.

    Raises:
        BadIntentError: It is malformed; says where.

    .. versionadded:: 26.1.0
    """
    return _parse(data, _decode_confirmation)


def parse_revision(value: object) -> Revision:
    """Validate a revision that came from the table or a peer.

    Raises:
        msgspec.ValidationError: It is malformed.

    .. versionadded:: 26.1.0
    """
    return msgspec.convert(value, Revision)


def make_plan(current: Revision, intent: Intent) -> Plan:
    """Work out what *intent* changes in *current*.

    Raises:
        BadIntentError: It removes what is not there.

    .. versionadded:: 26.1.0
    """
    target = apply_intent(current["document"], intent)
    return Plan(
        base_revision=current["revision"],
        digest=document_digest(target),
        changes=_changes(current["document"], target),
    )


def accept(current: Revision, confirmation: Confirmation, *, op_id: str) -> Revision:
    """Return the revision that a confirmation leads to.

    Raises:
        StalePlanError: The plan was made from another revision.
        BadIntentError: The intent does not fit.

    .. versionadded:: 26.1.0
    """
    base = confirmation["base_revision"]
    if base != current["revision"]:
        msg = f"planned on revision {base}, now at {current['revision']}"
        raise StalePlanError(msg)
    document = apply_intent(current["document"], confirmation["intent"])
    digest = document_digest(document)
    if digest != confirmation["digest"]:
        msg = "the intent leads to another configuration than the plan showed"
        raise StalePlanError(msg)
    return Revision(revision=base + 1, digest=digest, op_id=op_id, document=document)


def apply_intent(document: Document, intent: Intent) -> Document:
    """Return *document* with the intent's changes; *document* stays as it is.

    .. versionadded:: 26.1.0
    """
    before: dict[str, dict[str, Any]] = document  # type: ignore[assignment]
    additions: dict[str, dict[str, Any]] = intent.get("set", {})  # type: ignore[assignment]
    removals: dict[str, list[str]] = intent.get("remove", {})  # type: ignore[assignment]
    after: dict[str, dict[str, Any]] = {}
    for section in _SECTIONS:
        entries = dict(before[section])
        for name in removals.get(section, ()):
            if entries.pop(name, None) is None:
                msg = f"remove.{section}: there is no {name!r}"
                raise BadIntentError(msg)
        entries.update(additions.get(section, {}))
        after[section] = entries
    return after  # type: ignore[return-value]


def document_digest(document: Document) -> str:
    """Return the digest of a configuration, whatever the order of its keys.

    .. versionadded:: 26.1.0
    """
    canonical = msgspec.json.encode(document, order="sorted")
    return hashlib.sha256(canonical).hexdigest()


class Offer(enum.Enum):
    """How an offered revision relates to the one in force.

    .. versionadded:: 26.1.0
    """

    NEWER = enum.auto()
    SAME = enum.auto()
    OLDER = enum.auto()
    FORKED = enum.auto()


def compare(current: Revision, offered: Revision) -> Offer:
    """Tell whether *offered* may follow *current*; only a newer one may.

    .. versionadded:: 26.1.0
    """
    if offered["revision"] > current["revision"]:
        return Offer.NEWER
    if offered["revision"] < current["revision"]:
        return Offer.OLDER
    return Offer.SAME if offered["digest"] == current["digest"] else Offer.FORKED


def _parse(data: bytes | str, decode: Callable[[bytes | str], T]) -> T:
    """Decode JSON into a TypedDict, with a coded error."""
    try:
        return decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadIntentError(str(error)) from error


def _changes(before: Document, after: Document) -> list[Change]:
    """List the differences of two configurations."""
    old: dict[str, dict[str, Any]] = before  # type: ignore[assignment]
    new: dict[str, dict[str, Any]] = after  # type: ignore[assignment]
    changes = []
    for section in _SECTIONS:
        for name in sorted(old[section].keys() | new[section].keys()):
            change = _change(
                section, name, old[section].get(name), new[section].get(name)
            )
            if change is not None:
                changes.append(change)
    return changes


def _change(
    section: str,
    name: str,
    before: dict[str, Any] | None,
    after: dict[str, Any] | None,
) -> Change | None:
    """Return the plan's line for one entry, None if it stays as it is."""
    if before == after:
        return None
    label = f"{section[:-1]} {name}"
    action: Literal["add", "change", "remove"]
    if before is None:
        action, text = "add", f"add {label}"
    elif after is None:
        action, text = "remove", f"remove {label}"
    else:
        fields = [key for key in sorted(after) if before.get(key) != after[key]]
        parts = ", ".join(
            f"{key} {before.get(key)!r} -> {after[key]!r}" for key in fields
        )
        action, text = "change", f"change {label}: {parts}"
    return Change(
        action=action,
        section=section,
        name=name,
        text=text,
        before=before,
        after=after,
    )
