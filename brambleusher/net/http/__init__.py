"""A push parser for HTTP/1.1 messages that does no I/O, and functions that encode messages.

Limits are strict and ambiguous input is an error, as the remaining bytes of a wrongly framed message would
be parsed as the next message on the connection.
"""

from brambleusher.net.http.chunked import ChunkedDecoder, chunk
from brambleusher.net.http.heads import is_token, is_value, parse_request_head, parse_response_head
from brambleusher.net.http.message import (
    HOP_BY_HOP,
    MAX_BUFFERED_BODY_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_STREAMED_BODY_BYTES,
    HeaderField,
    HttpError,
    Message,
)
from brambleusher.net.http.reader import MessageReader
from brambleusher.net.http.writer import Framing, write_request, write_response

__all__ = [
    "HOP_BY_HOP",
    "MAX_BUFFERED_BODY_BYTES",
    "MAX_BUFFERED_RESPONSE_BYTES",
    "MAX_CHUNK_LINE_BYTES",
    "MAX_HEADERS",
    "MAX_HEAD_BYTES",
    "MAX_STREAMED_BODY_BYTES",
    "ChunkedDecoder",
    "Framing",
    "HeaderField",
    "HttpError",
    "Message",
    "MessageReader",
    "chunk",
    "is_token",
    "is_value",
    "parse_request_head",
    "parse_response_head",
    "write_request",
    "write_response",
]
