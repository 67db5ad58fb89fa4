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


class TestAnswerThatEndedEarly:
    """A stream that one instance cut, and another had refused to go on with."""

    def test_refusal_elsewhere_does_not_hide_the_run(self, tmp_path):
        """Guards against a request that reads as not run where one run was cut."""
        first, second = tmp_path / "edge-1", tmp_path / "edge-2"
        known = {"request_id": "r"}
        first.write_text(
            "\n".join(
                [
                    line(2208, "silence_seen", 1.0, **known, asked=3),
                    line(2209, "run_given_up", 1.1, **known, last_event_id=68),
                    line(2225, "request_forwarded", 1.2, **known, runs=1),
                    line(2226, "forward_refused", 1.4, **known, instance_id="edge-2"),
                    line(2210, "stream_cut", 1.5, **known, runs=1),
                    line(2205, "request_served", 1.6, **known, status=0),
                    line(2205, "request_served", 1.7, request_id="other", status=200),
                ]
            )
        )
        fields = {
            "code": 1202,
            "ran": "maybe",
            "forwarded_by": "edge-1",
            "runs_before": 1,
        }
        second.write_text(line(2203, "request_failed", 1.3, **known, **fields))
        shown = explain_request([str(second), str(first)], request_id="r")
        assert [one.split()[:2] for one in shown] == [
            ["edge-1", "2208"],
            ["edge-1", "2209"],
            ["edge-1", "2225"],
            ["edge-2", "2203"],
            ["edge-1", "2226"],
            ["edge-1", "2210"],
            ["edge-1", "2205"],
        ]
        assert shown[3].endswith("ran=maybe forwarded_by=edge-1 runs_before=1")

    def test_cut_by_a_stop_and_refused_elsewhere(self, tmp_path):
        """Guards against a cut whose reason is lost among another instance's lines."""
        first, second = tmp_path / "edge-1", tmp_path / "edge-2"
        cut = {"reason": "stopping", "age_s": 6.1, "is_begun": True, "ran": "maybe"}
        first.write_text(line(2228, "answer_cut", 7.3, request_id="r", **cut))
        second.write_text(error_line(7.6, code=1202))
        shown = explain_request([str(second), str(first)], request_id="r")
        assert shown == [
            "edge-1 2228 answer_cut reason=stopping age_s=6.1 is_begun=True ran=maybe",
            "edge-2 2206 request_refused code=1202 retry_after_s=1.25",
        ]
