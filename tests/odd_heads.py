# SPDX-License-Identifier: MIT
"""Answers whose heads or framing are not proper HTTP, and rare ones that are.

`%ID%` stands for the request's id.  A form's name says what is odd about it.
"""

from __future__ import annotations


SIGNED = b"Violethatch-Attempt-Id: %ID%\r\nViolethatch-Response-Signature: s\r\n"
BODY = b"whole"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def head(line=b"HTTP/1.1 200 OK", fields=b"", *, framing=None, body=BODY):
    """Return an answer's bytes; it has a length if no framing is given."""
    if framing is None:
        framing = b"Content-Length: %d\r\n" % len(body)
    return line + b"\r\n" + SIGNED + fields + framing + b"\r\n" + body


def chunks(body, *, fields=b""):
    """Return an answer in the given chunks."""
    return head(fields=fields, framing=CHUNKED, body=body)


_STATUS_LINES = {
    "status_000": b"HTTP/1.1 000 Zero",
    "status_001": b"HTTP/1.1 001 One",
    "status_099": b"HTTP/1.1 099 X",
    "status_101": b"HTTP/1.1 101 Switching Protocols",
    "status_600": b"HTTP/1.1 600 X",
    "status_999": b"HTTP/1.1 999 X",
    "status_of_four_digits": b"HTTP/1.1 1000 X",
    "status_of_two_digits": b"HTTP/1.1 20 X",
    "status_with_a_sign": b"HTTP/1.1 +200 OK",
    "status_with_an_underscore": b"HTTP/1.1 2_0 OK",
    "status_without_digits": b"HTTP/1.1 abc OK",
    "status_missing": b"HTTP/1.1",
    "status_that_meets_its_reason": b"HTTP/1.1 200OK",
    "version_0_9": b"HTTP/0.9 200 OK",
    "version_1_2": b"HTTP/1.2 200 OK",
    "version_2_0": b"HTTP/2.0 200 OK",
    "version_in_lower_case": b"http/1.1 200 OK",
    "version_of_another_protocol": b"ICY 200 OK",
    "version_that_meets_the_status": b"HTTP/1.1200 OK",
    "two_blanks_before_the_status": b"HTTP/1.1  200 OK",
    "tab_before_the_status": b"HTTP/1.1\t200 OK",
    "blank_before_the_version": b" HTTP/1.1 200 OK",
    "NUL_in_the_reason": b"HTTP/1.1 200 O\0K",
    "control_byte_in_the_reason": b"HTTP/1.1 200 O\x01K",
    "bare_CR_in_the_reason": b"HTTP/1.1 200 O\rK",
}
_FIELDS = {
    "blank_in_a_name": b"Odd Name: x\r\n",
    "tab_in_a_name": b"Odd\tName: x\r\n",
    "NUL_in_a_name": b"Odd\0Name: x\r\n",
    "control_byte_in_a_name": b"Odd\x01Name: x\r\n",
    "DEL_in_a_name": b"Odd\x7fName: x\r\n",
    "byte_above_127_in_a_name": b"Odd\xe9Name: x\r\n",
    "parentheses_in_a_name": b"Odd(Name): x\r\n",
    "empty_name": b": x\r\n",
    "line_without_a_colon": b"Oddname\r\n",
    "blank_before_the_colon": b"Oddname : x\r\n",
    "tab_before_the_colon": b"Oddname\t: x\r\n",
    "NUL_in_a_value": b"Odd: x\0y\r\n",
    "control_byte_in_a_value": b"Odd: x\x01y\r\n",
    "escape_in_a_value": b"Odd: x\x1by\r\n",
    "DEL_in_a_value": b"Odd: x\x7fy\r\n",
    "bare_CR_in_a_value": b"Odd: x\ry\r\n",
}
_FRAMINGS = {
    "length_with_a_sign": b"Content-Length: +5\r\n",
    "negative_length": b"Content-Length: -5\r\n",
    "hexadecimal_length": b"Content-Length: 0x5\r\n",
    "length_with_an_underscore": b"Content-Length: 0_5\r\n",
    "length_without_digits": b"Content-Length: five\r\n",
    "empty_length": b"Content-Length:\r\n",
    "fractional_length": b"Content-Length: 5.0\r\n",
    "two_numbers_in_a_length": b"Content-Length: 5 5\r\n",
    "list_of_lengths": b"Content-Length: 5, 5\r\n",
    "same_length_twice": b"Content-Length: 5\r\nContent-Length: 5\r\n",
    "two_lengths": b"Content-Length: 5\r\nContent-Length: 6\r\n",
    "length_beyond_any": b"Content-Length: 99999999999999999999999\r\n",
    "length_beside_chunks": b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "chunks_beside_a_length": b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "unknown_coding": b"Transfer-Encoding: gzip\r\n",
    "unknown_coding_behind_chunks": b"Transfer-Encoding: chunked, gzip\r\n",
    "unknown_coding_before_chunks": b"Transfer-Encoding: gzip, chunked\r\n",
    "chunks_twice": b"Transfer-Encoding: chunked, chunked\r\n",
    "coding_in_two_headers": (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"
    ),
    "almost_chunks": b"Transfer-Encoding: xchunked\r\n",
    "chunks_with_a_parameter": b"Transfer-Encoding: chunked;x=1\r\n",
    "identity_coding": b"Transfer-Encoding: identity\r\n",
    "empty_coding": b"Transfer-Encoding:\r\n",
    "folded_length": b"Content-Length: 1\r\n 5\r\n",
    "folded_coding": b"Transfer-Encoding: gzip,\r\n chunked\r\n",
}
_CHUNKS = {
    "chunk_size_with_a_sign": b"+5\r\nwhole\r\n0\r\n\r\n",
    "chunk_size_with_a_prefix": b"0x5\r\nwhole\r\n0\r\n\r\n",
    "negative_chunk_size": b"-5\r\nwhole\r\n0\r\n\r\n",
    "chunk_size_with_an_underscore": b"0_5\r\nwhole\r\n0\r\n\r\n",
    "chunk_size_missing": b"\r\nwhole\r\n0\r\n\r\n",
    "blank_before_a_chunk_size": b" 5\r\nwhole\r\n0\r\n\r\n",
    "chunk_longer_than_its_size": b"5\r\nwholes\r\n0\r\n\r\n",
    "chunk_shorter_than_its_size": b"6\r\nwhole\r\n0\r\n\r\n",
    "control_byte_in_an_extension": b"5;x=\x01\r\nwhole\r\n0\r\n\r\n",
    "blank_in_a_trailers_name": b"5\r\nwhole\r\n0\r\nOdd Name: x\r\n\r\n",
    "control_byte_in_a_trailers_name": b"5\r\nwhole\r\n0\r\nOdd\x01Name: x\r\n\r\n",
    "trailer_without_a_colon": b"5\r\nwhole\r\n0\r\nOddname\r\n\r\n",
    "blank_before_a_trailers_colon": b"5\r\nwhole\r\n0\r\nOddname : x\r\n\r\n",
}


def improper_heads(line=b"HTTP/1.1 200 OK", body=BODY):
    """Return, by name, answers whose status line or one of whose headers is improper.

    Args:
        line: The status line of those whose headers are improper.
        body: The body, which is whole.
    """
    return (
        {name: head(odd, body=body) for name, odd in _STATUS_LINES.items()}
        | {name: head(line, odd, body=body) for name, odd in _FIELDS.items()}
        | {
            name: head(line, framing=odd, body=body)
            for name, odd in _FRAMINGS.items()
            if "coding" in name
        }
    )


#: By name, answers that are not proper.
IMPROPER = (
    improper_heads()
    | {name: head(framing=framing) for name, framing in _FRAMINGS.items()}
    | {name: chunks(body) for name, body in _CHUNKS.items()}
    | {
        "chunks_in_version_1_0": head(
            b"HTTP/1.0 200 OK", framing=CHUNKED, body=b"5\r\nwhole\r\n0\r\n\r\n"
        ),
        "odd_interim_response": b"HTTP/1.1 103 Hints\r\nOdd: x\x01y\r\n\r\n" + head(),
        "switch_of_protocols_before_an_answer": (
            b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + head()
        ),
        "status_000_before_an_answer": b"HTTP/1.1 000 Zero\r\n\r\n" + head(),
    }
)
#: By name, answers that are proper, however rare.
PROPER = {
    "length": head(),
    "chunks": chunks(b"5\r\nwhole\r\n0\r\n\r\n"),
    "no_length": head(framing=b""),
    "empty_reason": head(b"HTTP/1.1 200 "),
    "no_reason": head(b"HTTP/1.1 200"),
    "bytes_above_127_in_the_reason": head(b"HTTP/1.1 200 d\xe9j\xe0 vu"),
    "tab_in_the_reason": head(b"HTTP/1.1 200 O\tK"),
    "bytes_above_127_in_a_value": head(fields=b"Odd: d\xe9j\xe0 vu \xff\r\n"),
    "UTF-8_in_a_value": head(fields="Odd: déjà vu\r\n".encode()),
    "empty_value": head(fields=b"Odd:\r\n"),
    "blank_value": head(fields=b"Odd: \t \r\n"),
    "tab_in_a_value": head(fields=b"Odd: x\ty\r\n"),
    "value_without_a_blank_before_it": head(fields=b"Odd:x\r\n"),
    "all_bytes_of_a_token_in_a_name": head(fields=b"A!#$%&'*+-.^_`|~9: x\r\n"),
    "one_header_twice": head(fields=b"Odd: x\r\nOdd: y\r\n"),
    # A recipient may replace the fold with a blank.
    "folded_line": head(fields=b"Odd: x\r\n folded\r\n"),
    "64_headers": head(fields=b"".join(b"Odd-%d: x\r\n" % n for n in range(60))),
    "version_1_0": head(b"HTTP/1.0 200 OK"),
    "chunk_extension": chunks(b'5;x=1;y="z"\r\nwhole\r\n0\r\n\r\n'),
    "trailers": chunks(b"5\r\nwhole\r\n0\r\nOdd: x\r\nOther:\r\n\r\n"),
    "leading_zeros_in_a_chunk_size": chunks(b"0005\r\nwhole\r\n000\r\n\r\n"),
    "leading_zeros_in_a_length": head(framing=b"Content-Length: 0005\r\n"),
    "coding_in_capitals": head(
        framing=b"Transfer-Encoding: Chunked\r\n", body=b"5\r\nwhole\r\n0\r\n\r\n"
    ),
    "interim_responses": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head(),
}
