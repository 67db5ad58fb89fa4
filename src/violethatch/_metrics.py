# SPDX-License-Identifier: MIT
"""An instance's metrics, as Prometheus reads them."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry


_FIRST_TOKEN_BUCKETS_S = [0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0]


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            "violethatch_requests_total",
            "Requests by kind and outcome.",
            registry=self.registry,
        )
        self.tokens = Counter(
            "violethatch_tokens_total",
            "Tokens given to callers.",
            registry=self.registry,
        )
        self.replacements = Counter(
            "violethatch_replacements_total",
            "Stages and routes replaced within requests.",
            registry=self.registry,
        )
        self.first_token_s = Histogram(
            "violethatch_first_token_seconds",
            "Time from a request to its first token.",
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.revision = Gauge(
            "violethatch_config_revision",
            "Configuration revision in force.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "violethatch_requests_in_flight",
            "Requests in progress.",
            registry=self.registry,
        )
        self.table_calls = Counter(
            "violethatch_table_calls_total",
            "Reads and writes of the platform's table, by outcome.",
            registry=self.registry,
        )
