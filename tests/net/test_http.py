"""Table-driven tests of the HTTP parsers and writers."""

from __future__ import annotations

import unittest

from brambleusher.loadbalancing.api import AttemptStatus, LoadReport
from brambleusher.net.http import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    ChunkedDecoder,
    HttpError,
    Message,
    MessageReader,
    write_request,
    write_response,
)
from brambleusher.net.upstream_responses import attempt_status_of, parse_load_report


def feed_in_steps(reader: MessageReader, data: bytes, step: int) -> list[Message]:
    """Feed the data in chunks of `step` bytes and return all complete messages."""
    out = []
    for at in range(0, len(data), step):
        reader.feed(data[at : at + step])
        while (message := reader.take()) is not None:
            out.append(message)
    return out


class Requests(unittest.TestCase):
    def test_messages_are_cut_out_however_the_bytes_come(self) -> None:
        data = (
            b"\r\nGET /a?x=1 HTTP/1.1\r\nHost: h\r\nX: 1\r\nX: 2\r\n\r\n"
            b"POST /b HTTP/1.1\r\ncontent-length: 3\r\nConnection: Close\r\n\r\nabc"
            b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2;e=1\r\nde\r\n1\r\nf\r\n0\r\nT: 1\r\n\r\n"
            b"GET /d HTTP/1.0\r\n\r\n"
        )
        for step in (1, 2, 7, len(data)):
            with self.subTest(step=step):
                one, two, three, four = feed_in_steps(MessageReader.requests(), data, step)
                self.assertEqual((one.start, one.headers["x"], one.body), (("GET", "/a?x=1"), "1, 2", b""))
                self.assertEqual((two.body, two.keep_alive), (b"abc", False))
                self.assertEqual((three.body, three.keep_alive), (b"def", True))
                self.assertEqual((four.start, four.keep_alive), (("GET", "/d"), False))

    def test_what_is_malformed_is_told_apart(self) -> None:
        line = b"POST / HTTP/1.1\r\n"
        for name, data, status in (
            ("no version", b"GET /\r\n\r\n", 400),
            ("other version", b"GET / HTTP/2.0\r\n\r\n", 400),
            ("two spaces", b"GET  / HTTP/1.1\r\n\r\n", 400),
            ("no path", b"GET x HTTP/1.1\r\n\r\n", 400),
            ("control in the target", b"GET /\x01 HTTP/1.1\r\n\r\n", 400),
            ("bad first line, head not ended", b"GARBAGE\r\n", 400),
            ("bare line feed", b"GET / HTTP/1.1\nHost: x\n\n", 400),
            ("no colon", line + b"Host\r\n\r\n", 400),
            ("space before the colon", line + b"Host : x\r\n\r\n", 400),
            ("folded header", line + b"A: b\r\n c\r\n\r\n", 400),
            ("control in a value", line + b"A: b\x00\r\n\r\n", 400),
            ("carriage return in a value", line + b"A: b\rc\r\n\r\n", 400),
            ("length not a number", line + b"Content-Length: +3\r\n\r\n", 400),
            ("two lengths", line + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 400),
            ("a length twice", line + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
            ("chunked twice", line + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n0\r\n\r\n", 400),
            ("negative length", line + b"Content-Length: -3\r\n\r\n", 400),
            ("huge length", line + b"Content-Length: 99999999999999999999\r\n\r\n", 400),
            ("length and chunks", line + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            ("other coding", line + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 400),
            ("chunks in 1.0", b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            ("bad chunk size", line + b"Transfer-Encoding: chunked\r\n\r\nx\r\n", 400),
            ("chunk too short", line + b"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 400),
            ("chunk line too long", line + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"a" * 300, 400),
            ("body too large", line + b"Content-Length: %d\r\n\r\n" % (MAX_BUFFERED_BODY_BYTES + 1), 413),
            ("chunks too large", line + b"Transfer-Encoding: chunked\r\n\r\n10001\r\n" + b"a" * 65537, 413),
            ("head too large", line + b"A: " + b"a" * MAX_HEAD_BYTES, 431),
            ("too many headers", line + b"A: b\r\n" * 101 + b"\r\n", 431),
        ):
            with self.subTest(name), self.assertRaises(HttpError) as caught:
                feed_in_steps(MessageReader.requests(), data, 4096)
            self.assertEqual(caught.exception.status, status, name)

    def test_the_largest_body_passes(self) -> None:
        data = (
            b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % MAX_BUFFERED_BODY_BYTES
            + b"a" * MAX_BUFFERED_BODY_BYTES
        )
        (message,) = feed_in_steps(MessageReader.requests(), data, 8192)
        self.assertEqual(len(message.body), MAX_BUFFERED_BODY_BYTES)


class Responses(unittest.TestCase):
    def test_each_framing(self) -> None:
        for name, data, body, ends in (
            ("length", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", b"ab", False),
            ("no reason", b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab", b"ab", False),
            (
                "chunks",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                b"ab",
                False,
            ),
            ("no content", b"HTTP/1.1 204 None\r\n\r\n", b"", False),
            ("up to the end", b"HTTP/1.1 200 OK\r\n\r\nab", b"ab", True),
        ):
            with self.subTest(name):
                reader = MessageReader.responses()
                got = feed_in_steps(reader, data, 3)
                self.assertEqual([message.body for message in got], [] if ends else [body])
                last = reader.end()
                self.assertEqual(last.body if last else None, body if ends else None)

    def test_an_answer_cut_short_is_none(self) -> None:
        for data in (
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
        ):
            reader = MessageReader.responses()
            self.assertEqual(feed_in_steps(reader, data, 5), [])
            self.assertIsNone(reader.end())

    def test_what_an_answer_proves(self) -> None:
        for status, headers, expected in (
            ("200", {}, AttemptStatus.OK),
            ("500", {}, AttemptStatus.ERROR),
            ("503", {}, AttemptStatus.ERROR),
            ("503", {"not-started": "0"}, AttemptStatus.ERROR),
            ("500", {"not-started": "1"}, AttemptStatus.ERROR),
            ("503", {"not-started": "1"}, AttemptStatus.OVERLOADED),
            ("504", {"not-started": "1"}, AttemptStatus.OVERLOADED),
            ("204", {}, AttemptStatus.ERROR),
        ):
            self.assertEqual(
                attempt_status_of(Message((status, ""), 1, headers)), expected, (status, headers)
            )

    def test_reports_keep_only_sense(self) -> None:
        for text, expected in (
            ('{"util":0.5,"qps":10}', LoadReport(0.5, 10.0)),
            ('{"utilization":0.5,"throughput":10,"more":1}', LoadReport(0.5, 10.0)),
            ('{"util":-1,"qps":10}', LoadReport(None, 10.0)),
            ('{"util":true,"qps":"x"}', None),
            ("{}", None),
            ("[1]", None),
            ("{", None),
            (None, None),
        ):
            self.assertEqual(parse_load_report(text), expected, text)


class Writers(unittest.TestCase):
    def test_what_is_written_reads_back(self) -> None:
        (request,) = feed_in_steps(
            MessageReader.requests(), write_request("POST", "/a", [("A", "b")], b"xy"), 9
        )
        self.assertEqual((request.start, request.headers["a"], request.body), (("POST", "/a"), "b", b"xy"))
        (answer,) = feed_in_steps(MessageReader.responses(), write_response(503, [("A", "b")], b"", False), 9)
        self.assertEqual((answer.status, answer.headers["a"], answer.keep_alive), (503, "b", False))

    def test_chunks_of_a_stream_come_as_they_are(self) -> None:
        decoder = ChunkedDecoder()
        self.assertEqual([decoder.feed(part) for part in (b"3\r\na", b"b", b"c\r\n1\r\n", b"d")],
                         [b"a", b"b", b"c", b"d"])  # fmt: skip
        self.assertFalse(decoder.done)
