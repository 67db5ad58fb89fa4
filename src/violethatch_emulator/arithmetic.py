# SPDX-License-Identifier: MIT
"""The stand-in model: arithmetic that shows any layer left out or run twice.

A layer's output for a position is a hash of its input and of that layer's
outputs for all earlier positions.  So a token comes out right only if every
layer ran exactly once for every position up to it, in order.
"""

from __future__ import annotations

import hashlib

from collections.abc import Sequence


HIDDEN_BYTES = 16
VOCABULARY = 997
#: A token below this ends the answer, about one in 500.
END_TOKENS = 2

_START = b"\0" * HIDDEN_BYTES


def _hash(*parts: bytes) -> bytes:
    """Return the hash of the parts."""
    return hashlib.blake2b(b"".join(parts), digest_size=HIDDEN_BYTES).digest()


class LayerStack:
    """The state of consecutive layers for one request: a stand-in KV cache."""

    __slots__ = ("_caches", "_first", "next_position")

    def __init__(
        self,
        *,
        first: int,
        end: int,
        caches: list[bytes] | None = None,
        next_position: int = 0,
    ) -> None:
        self._first = first
        self._caches = caches or [_START] * (end - first)
        self.next_position = next_position

    def run(self, hidden: bytes) -> bytes:
        """Run one position through the layers; return its hidden state."""
        for offset, cache in enumerate(self._caches):
            layer = self._first + offset
            hidden = _hash(layer.to_bytes(2, "big"), hidden, cache)
            self._caches[offset] = _hash(cache, hidden)
        self.next_position += 1
        return hidden

    def export(self) -> list[bytes]:
        """Return the cache, for another engine with the same layers."""
        return list(self._caches)


def tokenize(prompt: str) -> list[int]:
    """Return the prompt's tokens: one a word."""
    return [_word_token(word) for word in prompt.split()] or [0]


def _word_token(word: str) -> int:
    """Return a word's token; the words that `text_of` writes map back."""
    if word.startswith("t") and word[1:].isdigit():
        return int(word[1:])
    return int.from_bytes(_hash(word.encode())[:4], "big")


def embed(token: int) -> bytes:
    """Return the input of layer 0 for a token."""
    return _hash(b"embed", token.to_bytes(8, "big"))


def sample(hidden: bytes) -> int:
    """Return the token that the last layer's output stands for."""
    return int.from_bytes(hidden[:4], "big") % VOCABULARY


def text_of(token: int) -> str:
    """Return a token's text."""
    return f" t{token}"


def expected_tokens(prompt: str, *, layer_count: int, limit: int) -> list[int]:
    """Return the answer that the whole model gives, worked out in one place."""
    stack = LayerStack(first=0, end=layer_count)
    hidden = b""
    for token in tokenize(prompt):
        hidden = stack.run(embed(token))
    tokens = [sample(hidden)]
    while len(tokens) < limit and tokens[-1] >= END_TOKENS:
        tokens.append(sample(stack.run(embed(tokens[-1]))))
    return tokens


def expected_text(prompt: str, *, layer_count: int, limit: int) -> str:
    """Return the text of `expected_tokens`."""
    tokens = expected_tokens(prompt, layer_count=layer_count, limit=limit)
    return join_text(tokens)


def join_text(tokens: Sequence[int]) -> str:
    """Return the text of tokens as an answer holds it."""
    return "".join(text_of(token) for token in tokens if token >= END_TOKENS)
