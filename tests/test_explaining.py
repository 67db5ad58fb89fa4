# SPDX-License-Identifier: MIT
"""A request's lines in order."""

from __future__ import annotations

import json

from violethatch.explaining import explain_request


def line(number, name, at_s, **fields):
    """Return a log line."""
    message = {"number": number, "message_type": f"violethatch:{name}"}
    return json.dumps(message | {"timestamp": at_s} | fields)


class TestExplainRequest:
    def test_lines_of_several_instances_in_order(self, tmp_path):
        """Only the request's lines are shown, by time, with their source."""
        one, two = tmp_path / "one.log", tmp_path / "two.log"
        one.write_text(
            line(2206, "request_refused", 3.0, request_id="r", code=1202)
            + "\n"
            + line(2205, "request_served", 1.0, request_id="other")
            + "\nno message\n{cut"
        )
        two.write_text("edge-1 " + line(2208, "silence_seen", 2.0, request_id="r"))
        shown = explain_request([str(one), str(two)], request_id="r")
        assert shown == [
            "edge-1 2208 silence_seen ",
            "one.log 2206 request_refused code=1202",
        ]


def refused_line(at_s, **fields):
    """Return the line of a start that was refused."""
    known = {
        "request_id": "r",
        "service": "model",
        "priority": 2,
        "workspace": "clinic",
        "reason": "level",
        "room_streams": 100.0,
        "running": 95,
        "level": 2,
        "part": 0.347,
        "workspace_starts_per_s": 9.3,
        "age_s": 0.31,
        "is_fallback": False,
        "retry_after_s": 1.25,
        "is_reserved": True,
    }
    return line(2222, "start_refused", at_s, **known | fields)


def error_line(at_s, **fields):
    """Return the line of the request that was answered with a refusal."""
    known = {"request_id": "r", "code": 1207, "retry_after_s": 1.25}
    return line(2206, "request_refused", at_s, **known | fields)


class TestRefusedStart:
    def test_what_decided_it_is_shown(self, tmp_path):
        """Guards against a refusal without room, level, part, ages or its answer."""
        log = tmp_path / "edge-1"
        log.write_text(error_line(1.1, proof_age_s=0.4) + "\n" + refused_line(1.0))
        shown = explain_request([str(log)], request_id="r")
        assert shown == [
            "edge-1 2222 start_refused service=model priority=2 workspace=clinic "
            "reason=level room_streams=100.0 running=95 level=2 part=0.347 "
            "workspace_starts_per_s=9.3 age_s=0.31 is_fallback=False "
            "retry_after_s=1.25 is_reserved=True",
            "edge-1 2206 request_refused code=1207 retry_after_s=1.25 proof_age_s=0.4",
        ]

    def test_caller_that_came_back(self, tmp_path):
        """Guards against a retry at another instance that is shown out of order.

        It came back too early, was told the rest of the same time, and was then served.
        """
        first, second = tmp_path / "edge-1", tmp_path / "edge-2"
        first.write_text("\n".join([refused_line(1.0), error_line(1.1)]))
        claimed = {"request_id": "r", "service": "model"}
        early = {"reason": "early", "retry_after_s": 0.75}
        second.write_text(
            "\n".join(
                [
                    line(2205, "request_served", 3.0, request_id="r", status=200),
                    line(2224, "start_claimed", 2.3, **claimed, outcome="due"),
                    refused_line(1.6, **early),
                    error_line(1.7, retry_after_s=0.75),
                    line(
                        2224,
                        "start_claimed",
                        1.5,
                        **claimed,
                        outcome="early",
                        left_s=0.75,
                    ),
                ]
            )
        )
        shown = explain_request([str(first), str(second)], request_id="r")
        assert [one.split()[:2] for one in shown] == [
            ["edge-1", "2222"],
            ["edge-1", "2206"],
            ["edge-2", "2224"],
            ["edge-2", "2222"],
            ["edge-2", "2206"],
            ["edge-2", "2224"],
            ["edge-2", "2205"],
        ]
        assert "outcome=early left_s=0.75" in shown[2]
        assert "reason=early" in shown[3]
        assert "retry_after_s=0.75" in shown[4]
        assert "outcome=due" in shown[5]
