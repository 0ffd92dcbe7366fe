"""A client's complete request and its headers."""

from __future__ import annotations

from dataclasses import dataclass

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True, eq=False)
class ClientRequest:
    """The head and body of a client's request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_at_s: float

    def header(self, name: bytes) -> bytes:
        """Return a header's value, empty if the header is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""

    def end_to_end_headers(self) -> HeaderList:
        """Return the headers that are forwarded to the instance.

        Hop-by-hop headers and the headers named by `Connection` are left out.
        """
        named_by_connection = {
            token.strip().lower()
            for name, value in self.headers
            if name == b"connection"
            for token in value.split(b",")
        }
        return [
            (name, value)
            for name, value in self.headers
            if name not in HOP_BY_HOP_HEADERS and name not in named_by_connection
        ]
