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
