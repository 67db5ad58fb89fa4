# SPDX-License-Identifier: MIT
"""The OpenAI style: bodies of completions, and how their answers are written."""

from __future__ import annotations

import time

from typing import Annotated, Any, Literal, TypedDict

import msgspec

from ._driver import Piece
from .errors import BadRequestError


class _ContentPart(TypedDict, total=False):
    type: str
    text: str


class _Message(TypedDict):
    role: str
    content: str | list[_ContentPart]


class CompletionBody(TypedDict, total=False):
    """The members of a completion's body that are understood."""

    model: str
    prompt: str
    messages: list[_Message]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] | None
    stream: bool | None


_decode_body = msgspec.json.Decoder(CompletionBody).decode


class Shape:
    """How answers are written in the OpenAI style."""

    chunk_kind = ""
    whole_kind = ""

    def __init__(self, request_id: str, model: str) -> None:
        self._common = {
            "id": f"{self.whole_kind}-{request_id}",
            "created": int(time.time()),
            "model": model,
        }

    @staticmethod
    def prompt(body: CompletionBody) -> str:
        """Return the prompt that a body gives."""
        raise NotImplementedError

    def choice(self, text: str, finish: str | None, *, is_chunk: bool) -> Any:
        """Return a choice's members."""
        raise NotImplementedError

    def chunk(self, piece: Piece) -> bytes:
        """Return a piece as a server-sent event."""
        choice = self.choice(piece.text, _finish(piece), is_chunk=True)
        body = {**self._common, "object": self.chunk_kind, "choices": [choice]}
        return sse(body)

    def whole(self, pieces: list[Piece]) -> bytes:
        """Return the whole answer."""
        text = "".join(piece.text for piece in pieces)
        finish = _finish(pieces[-1]) or "length"
        choice = self.choice(text, finish, is_chunk=False)
        usage = {"completion_tokens": len(pieces)}
        body = {**self._common, "object": self.whole_kind, "choices": [choice]}
        return msgspec.json.encode({**body, "usage": usage})


class ChatShape(Shape):
    """Chat completions."""

    chunk_kind = "chat.completion.chunk"
    whole_kind = "chat.completion"

    @staticmethod
    def prompt(body: CompletionBody) -> str:
        """Return the messages as one prompt."""
        if not body.get("messages"):
            msg = "messages: missing or empty"
            raise BadRequestError(msg)
        return "\n".join(
            f"{message['role']}: {_text(message)}" for message in body["messages"]
        )

    def choice(self, text: str, finish: str | None, *, is_chunk: bool) -> Any:
        """Return a choice with a message or a part of one."""
        member = "delta" if is_chunk else "message"
        message = {"role": "assistant", "content": text}
        return {"index": 0, member: message, "finish_reason": finish}


class TextShape(Shape):
    """Plain completions."""

    chunk_kind = "text_completion"
    whole_kind = "text_completion"

    @staticmethod
    def prompt(body: CompletionBody) -> str:
        """Return the prompt."""
        if not body.get("prompt"):
            msg = "prompt: missing or empty"
            raise BadRequestError(msg)
        return body["prompt"]

    def choice(self, text: str, finish: str | None, *, is_chunk: bool) -> Any:
        """Return a choice with text."""
        return {"index": 0, "text": text, "finish_reason": finish, "logprobs": None}


def _finish(piece: Piece) -> Literal["stop"] | None:
    """Return why the answer ends with this piece, if it does."""
    return "stop" if piece.end else None


def _text(message: _Message) -> str:
    """Return a message's text."""
    content = message["content"]
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)


def parse_body(data: bytes) -> CompletionBody:
    """Decode a completion's body.

    Raises:
        BadRequestError: It is malformed; says where.
    """
    try:
        return _decode_body(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequestError(str(error)) from error


def sse(body: Any) -> bytes:
    """Return a server-sent event."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"
