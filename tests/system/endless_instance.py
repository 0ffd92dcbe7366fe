"""An instance that answers without end, as a process of its own: the path of a request names the form.

    python -m tests.system.endless_instance HOST PORT [FORM]

A path ends with `/FORM/STATUS`, the name of an `EndlessForm` and the status of the answer; with `FORM` every
request is answered in that form and with status 200.
"""

from __future__ import annotations

import socket
import sys
import threading
from enum import StrEnum

BLOCK_BYTES = 256 * 1024
TOLD_BYTES = 999_999_999_999
BACKLOG = 128
EVENT = b"id: 1\ndata: token\n\n"
EVENTS_PER_CHUNK = 4096
MANY_EVENTS = f"{len(EVENT) * EVENTS_PER_CHUNK:x}\r\n".encode() + EVENT * EVENTS_PER_CHUNK + b"\r\n"
EVENT_STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"


class EndlessForm(StrEnum):
    """The forms in which an answer has no end."""

    HEADER_LINE = "header_line"
    CHUNK_SIZE = "chunk_size"  # bytes that are no size where the size of a chunk is due
    ONE_CHUNK = "one_chunk"
    SMALL_CHUNKS = "small_chunks"  # chunks of one byte
    TOLD_LENGTH = "told_length"
    UNTIL_CLOSE = "until_close"  # no length: the body ends with the connection
    EVENT_PIECES = "event_pieces"  # small pieces of a stream that complete no event
    EVENTS = "events"  # each in a chunk of its own
    MANY_EVENTS = "many_events"  # thousands in each chunk
    INFORMATIONAL = "informational"  # responses with status 100
    REJECTION = "rejection"  # the body of an answer that says that the request was not run
    OTHER_ANSWER = "other_answer"  # the body of an answer to another request


class EndlessAnswer:
    """The head of an answer, and the bytes that follow it again and again."""

    def __init__(self, form: EndlessForm, status: int, attempt_id: str) -> None:
        self._form, self._status = form, status
        self._attempt_id = "other" if form is EndlessForm.OTHER_ANSWER else attempt_id

    def head(self) -> bytes:
        """Return the bytes that are sent once."""
        if self._form is EndlessForm.INFORMATIONAL:
            return b""
        lines = [
            f"HTTP/1.1 {self._status} X",
            f"X-Attempt-Id: {self._attempt_id}",
            f"X-Server-Seal: seal.{self._attempt_id}",
            EVENT_STREAM,
        ]
        if self._form is EndlessForm.HEADER_LINE:
            return ("\r\n".join(lines) + "\r\nX-Filler: ").encode()
        if self._form is EndlessForm.REJECTION:
            lines.append("X-Not-Executed: 1")
        if self._form is EndlessForm.TOLD_LENGTH:
            lines.append(f"Content-Length: {TOLD_BYTES}")
        elif self._form is not EndlessForm.UNTIL_CLOSE:
            lines.append(CHUNKED)
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        if self._form in (EndlessForm.ONE_CHUNK, EndlessForm.REJECTION, EndlessForm.OTHER_ANSWER):
            head += f"{TOLD_BYTES:x}\r\n".encode()
        return head

    def block(self) -> bytes:
        """Return the bytes that are sent again and again."""
        piece = {
            EndlessForm.SMALL_CHUNKS: b"1\r\nx\r\n",
            EndlessForm.EVENT_PIECES: b"6\r\ndata:\n\r\n",
            EndlessForm.EVENTS: b"13\r\n" + EVENT + b"\r\n",
            EndlessForm.MANY_EVENTS: MANY_EVENTS,
            EndlessForm.INFORMATIONAL: b"HTTP/1.1 100 Continue\r\n\r\n",
        }.get(self._form, b"x")
        return piece * (BLOCK_BYTES // len(piece))


def _read_request(connection: socket.socket) -> tuple[str, str] | None:
    """Read a request with a told length; return path and attempt id, None if the connection ends."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    missing = int(headers.get("content-length", "0")) - len(body)
    while missing > 0:
        received = connection.recv(65536)
        if not received:
            return None
        missing -= len(received)
    return first.split(" ")[1], headers.get("x-attempt-id", "")


def _serve(connection: socket.socket, only_form: str) -> None:
    """Answer the first request of a connection until the caller closes it."""
    with connection:
        try:
            request = _read_request(connection)
            if request is None:
                return
            path, attempt_id = request
            form, status = (only_form, "200") if only_form else path.split("/")[-2:]
            answer = EndlessAnswer(EndlessForm(form), int(status), attempt_id)
            connection.sendall(answer.head())
            block = answer.block()
            while True:
                connection.sendall(block)
        except OSError:
            return


def main() -> None:
    """Serve until the process is killed."""
    host, port, only_form = sys.argv[1], int(sys.argv[2]), "".join(sys.argv[3:])
    with socket.create_server((host, port), backlog=BACKLOG) as listener:
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=_serve, args=(connection, only_form), daemon=True).start()


if __name__ == "__main__":
    main()
