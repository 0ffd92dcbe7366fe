"""Byte transport of one connection, plain or TLS; TLS uses memory BIOs over a `Stream`."""

from __future__ import annotations

import ssl

from brambleusher.runtime.scheduler import Event
from brambleusher.runtime.streams import RECEIVE_BYTES, Stream
from brambleusher.runtime.system import Socket


class Channel:
    """One connection, plain or TLS.  At most one task at a time may wait on the connection."""

    __slots__ = ("_in", "_out", "_tls", "stream")

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self._tls: ssl.SSLObject | None = None

    @property
    def sock(self) -> Socket:
        """Socket to wait on for incoming bytes."""
        return self.stream.sock

    @property
    def open(self) -> bool:
        """Whether this side has not closed the connection yet."""
        return self.stream.open

    @property
    def secure(self) -> bool:
        """Whether the connection uses TLS."""
        return self._tls is not None

    def start_tls(
        self, context: ssl.SSLContext, server: bool, host: str, received: bytes, deadline: float
    ) -> None:
        """Perform the TLS handshake; `received` holds handshake bytes that were already received.

        Raises:
            OSError: The handshake failed or the connection ended.
            TaskTimeoutError: The deadline passed.
        """
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        tls = context.wrap_bio(self._in, self._out, server_side=server, server_hostname=host or None)
        self._in.write(received)
        while True:
            try:
                tls.do_handshake()
                break
            except ssl.SSLWantReadError:
                self._flush(deadline)
                data = self.stream.receive(deadline)
                if not data:
                    raise ConnectionResetError(
                        "the peer closed the connection during the TLS handshake"
                    ) from None
                self._in.write(data)
            except ssl.SSLError:
                self._flush(deadline)  # sends the TLS alert with the reason to the peer
                raise
        self._flush(deadline)
        self._tls = tls

    def _flush(self, deadline: float | None) -> None:
        if self._out.pending:
            self.stream.send(self._out.read(), deadline)

    def _read(self) -> bytes | None:
        """Return decrypted bytes that are available, or None if more input is needed."""
        assert self._tls is not None
        try:
            return self._tls.read(RECEIVE_BYTES)
        except ssl.SSLWantReadError:
            return None
        except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
            return b""

    def receive(self, deadline: float | None, event: Event | None = None) -> bytes | None:
        """Return the next bytes, empty at the end of the stream, or None if the event was set first."""
        if self._tls is None:
            return self.stream.receive(deadline, event)
        while (data := self._read()) is None:
            self._flush(deadline)
            raw = self.stream.receive(deadline, event)
            if raw is None:
                return None
            if raw:
                self._in.write(raw)
            else:
                self._in.write_eof()
        return data

    def receive_now(self) -> bytes | None:
        """Return available bytes without waiting, empty at the end of the stream, or None without any."""
        try:
            raw = self.stream.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            raw = None
        except OSError:
            return b""
        if self._tls is None:
            return raw
        if raw:
            self._in.write(raw)
        elif raw is not None:
            self._in.write_eof()
        try:
            return self._read()
        except OSError:
            return b""

    def send(self, data: bytes, deadline: float | None) -> None:
        """Send all bytes; return once the last byte has been passed to the operating system."""
        if self._tls is None:
            self.stream.send(data, deadline)
            return
        view = memoryview(data)
        while view:
            view = view[self._tls.write(view[:RECEIVE_BYTES]) :]
            self._flush(deadline)

    def quiet(self) -> bool:
        """Return whether the connection is open with neither data nor its end waiting to be read."""
        if self._tls is None:
            return self.stream.is_idle()
        return self.receive_now() is None  # reading consumes TLS session tickets, which are not data

    def close(self) -> None:
        """Close the connection; repeated calls have no effect."""
        self.stream.close()


def server_context(cert_file: str, key_file: str) -> ssl.SSLContext:
    """Create the TLS context for client connections; raises `OSError` if the certificate can't be loaded."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cert_file, key_file)
    return context


def client_context(ca_file: str, host: str, cert_file: str, key_file: str) -> ssl.SSLContext:
    """Create the TLS context for connections to nodes; without a CA file, certificates are not verified."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = bool(host)
    if ca_file:
        context.load_verify_locations(ca_file)
    else:
        context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    if cert_file:
        context.load_cert_chain(cert_file, key_file or None)
    return context
