# SPDX-License-Identifier: MIT
"""The platform's headers: which are ours, which are passed on."""

from __future__ import annotations

from collections.abc import Iterable

from ..paths import Path


CALL_ID = "Violethatch-Attempt-Id"
DEADLINE_MS = "Violethatch-Deadline-Ms"
#: The server that is to run the request; any other answers 421.
TARGET = "Violethatch-Target-Instance"
#: The workspace of the caller's key.
WORKSPACE = "Violethatch-Tenant"
NOT_RUN = "Violethatch-Not-Executed"
#: Running, waiting and slots, with commas between.
LOAD = "Violethatch-Server-Load"
#: The prompt's tokens and the most to come out, with a comma between.
TOKEN_COUNT = "Violethatch-Token-Count"
#: The parts of the prompt in order, as ID:TOKENS with commas between, IDs in hex.
PROMPT_PARTS = "Violethatch-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
PRIORITY = "Priority"
PATH = "Path"
#: The runner at fault in a refusal.
AT_SERVER = "At-Server"
#: The server will end, in whichever answer it stands.
LEAVING = "Server-Leaving"
#: How many requests a second the server takes from all instances together.
LIMIT = "Server-Limit"
#: For how long the server wants nothing, beside a status that turns a call away.
RETRY_AFTER = "Retry-After"
KEY_SCHEME = "Token "

#: Headers that concern one connection only, in lower case.
_OF_CONNECTION = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
#: How the platform's own headers begin, in lower case, and those that are known.
_OF_PLATFORM = ("violethatch-", "server-")
_KNOWN_OF_PLATFORM = frozenset(
    name.lower()
    for name in (
        CALL_ID,
        DEADLINE_MS,
        TARGET,
        WORKSPACE,
        NOT_RUN,
        LOAD,
        TOKEN_COUNT,
        LEAVING,
        LIMIT,
        # The server's proof that an answer is its own, and its id: passed on.
        "Violethatch-Response-Signature",
        "Violethatch-Instance-Id",
        "Violethatch-Model",
        PROMPT_PARTS,
        # What measures a server's time, and is no word of the platform's.
        "Server-Timing",
    )
)
#: Headers of requests that a caller can't set for a server, in lower case: the system
#: sets them itself where they apply.  `Last-Event-Id` is passed on like any other, and
#: replaced once the system itself resumes a stream.
_SET_BY_US = frozenset(
    name.lower()
    for name in (
        "Authorization",
        DEADLINE_MS,
        TARGET,
        WORKSPACE,
        PRIORITY,
        PATH,
        "Expect-Version",
    )
)


def decoded(raw: Iterable[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return headers as text, each byte as one character."""
    return [(name.decode("latin-1"), value.decode("latin-1")) for name, value in raw]


def unknown_of_platform(names: Iterable[str]) -> list[str]:
    """Return, in lower case, names of the platform's that nothing here reads."""
    lower = {name.lower() for name in names}
    return sorted(
        name for name in lower - _KNOWN_OF_PLATFORM if name.startswith(_OF_PLATFORM)
    )


def passed_on(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return a request's headers that go on to a server as they are."""
    return _without(headers, _OF_CONNECTION | _SET_BY_US)


def given_back(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return an answer's headers that go back to a caller as they are."""
    return _without(headers, _OF_CONNECTION)


def path_header(path: Path) -> str:
    """Return a path as the platform writes it."""
    return ",".join(
        f"{stage.server.address}={stage.layers.first}-{stage.layers.end}"
        for stage in path.stages
    )


def _without(
    headers: Iterable[tuple[str, str]], left_out: frozenset[str]
) -> list[tuple[str, str]]:
    """Return headers but some, and but those that `Connection` names."""
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in left_out and name.lower() not in named
    ]
