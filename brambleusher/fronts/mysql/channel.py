"""A connection's bytes, plain or under TLS: `ssl` without its own sockets, over a `Stream`."""

from __future__ import annotations

import ssl

from brambleusher.runtime.scheduler import Event
from brambleusher.runtime.streams import RECEIVE_BYTES, Stream
from brambleusher.runtime.system import Socket


class Channel:
    """One connection; a task at a time waits on it."""

    __slots__ = ("_in", "_out", "_tls", "stream")

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self._tls: ssl.SSLObject | None = None

    @property
    def sock(self) -> Socket:
        """What to wait on for bytes."""
        return self.stream.sock

    @property
    def open(self) -> bool:
        """Whether it has not been closed from this side."""
        return self.stream.open

    @property
    def secure(self) -> bool:
        """Whether it is under TLS."""
        return self._tls is not None

    def start_tls(
        self, context: ssl.SSLContext, server: bool, host: str, ahead: bytes, deadline: float
    ) -> None:
        """The handshake; `ahead` has what came of it already.  Raises `OSError`, `Timeout`."""
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        tls = context.wrap_bio(self._in, self._out, server_side=server, server_hostname=host or None)
        self._in.write(ahead)
        while True:
            try:
                tls.do_handshake()
                break
            except ssl.SSLWantReadError:
                self._flush(deadline)
                data = self.stream.receive(deadline)
                if not data:
                    raise ConnectionResetError("the connection ended in the TLS handshake") from None
                self._in.write(data)
            except ssl.SSLError:
                self._flush(deadline)  # the alert that tells the other side why
                raise
        self._flush(deadline)
        self._tls = tls

    def _flush(self, deadline: float | None) -> None:
        if self._out.pending:
            self.stream.send(self._out.read(), deadline)

    def _read(self) -> bytes | None:
        """Bytes that are here already; None where more must come first."""
        assert self._tls is not None
        try:
            return self._tls.read(RECEIVE_BYTES)
        except ssl.SSLWantReadError:
            return None
        except (ssl.SSLZeroReturnError, ssl.SSLEOFError):
            return b""

    def receive(self, deadline: float | None, event: Event | None = None) -> bytes | None:
        """The next bytes, empty at the end; None where the event was set first."""
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
        """Bytes that have come, empty at the end; None where there are none yet."""
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
        """All of it; returns once the last byte has been handed to the system."""
        if self._tls is None:
            self.stream.send(data, deadline)
            return
        view = memoryview(data)
        while view:
            view = view[self._tls.write(view[:RECEIVE_BYTES]) :]
            self._flush(deadline)

    def quiet(self) -> bool:
        """Whether the connection is open and nothing, not even its end, waits to be read."""
        if self._tls is None:
            return self.stream.is_idle()
        return self.receive_now() is None  # session tickets may have come: they are no data

    def close(self) -> None:
        """Close it, once."""
        self.stream.close()


def server_context(cert_file: str, key_file: str) -> ssl.SSLContext:
    """For the side that clients connect to; raises `OSError` where the files are of no use."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(cert_file, key_file)
    return context


def client_context(ca_file: str, host: str, cert_file: str, key_file: str) -> ssl.SSLContext:
    """For connections to nodes; without a CA their certificates are not checked."""
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
