"""Read lines in one process and parse them in several, in order and with few batches in flight."""

from __future__ import annotations

import multiprocessing
import signal
from collections.abc import Iterator
from multiprocessing.connection import Connection
from pathlib import Path

import msgspec

from brambleusher.load.mapping import RowConverter
from brambleusher.load.opening import Progress, lines, open_source
from brambleusher.load.ordering import Timed
from brambleusher.load.report import Report
from brambleusher.load.request import RejectedRow, Request, SourceError
from brambleusher.load.sources import LineReader, ReadOptions, line_row, record_notes

BATCH_LINES, BATCH_BYTES = 1000, 256 * 1024
Batch = list[tuple[int, bytes | None, bool]]


class ParsedBatch(msgspec.Struct, array_like=True):
    """Result of parsing a batch of lines."""

    rows: int = 0
    requests: list[tuple[int, bool, Request]] = []
    left: list[tuple[int, str, str]] = []
    notes: dict[str, int] = {}

    def note(self, what: str) -> None:
        """Count a note, as `Report.note` does."""
        self.notes[what] = self.notes.get(what, 0) + 1


class Worker:
    """Parses batches of lines in a child process."""

    def __init__(self, options: ReadOptions, form: str) -> None:
        self._reader: LineReader = options.line_reader(form)
        self._request = RowConverter(options.mapping).request

    def parse(self, batch: Batch) -> bytes:
        """Parse a batch and return the result as MessagePack."""
        parsed = ParsedBatch()
        for number, line, has_line_ending in batch:
            try:
                if line is None:
                    raise RejectedRow("too-long")
                row = line_row(self._reader, number, line)
                if row is None:
                    continue
                request = self._request(row)
            except RejectedRow as rejection:
                truncated = not has_line_ending and rejection.reason in ("unreadable", "encoding")
                parsed.left.append((number, "cut-line" if truncated else rejection.reason, rejection.detail))
                continue
            record_notes(parsed.note, request, row.has_full_seconds, row.leap)
            parsed.requests.append((number, row.has_full_seconds, request))
        parsed.rows = len(parsed.requests) + len(parsed.left)
        return msgspec.msgpack.encode(parsed)


def _serve(options: ReadOptions, form: str, pipe: Connection) -> None:
    """Run a child process that parses batches until the pipe is closed."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process ends this process
    worker, decode = Worker(options, form), msgspec.msgpack.Decoder(Batch).decode
    try:
        while True:
            pipe.send_bytes(worker.parse(decode(pipe.recv_bytes())))
    except (EOFError, OSError):
        return


def requests(
    path: Path,
    form: str,
    options: ReadOptions,
    report: Report,
    processes: int,
    progress: Progress | None = None,
) -> Iterator[Timed]:
    """Yield the requests of a file in file order, like `sources.requests`, parsed by several processes."""
    options.line_reader(form)  # reports invalid options once, before processes start
    context = multiprocessing.get_context("spawn")
    encode, decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(ParsedBatch).decode
    pipes: list[Connection] = []
    children = []
    try:
        with open_source(path, progress) as file:
            sent = 0
            for batch in _batches(lines(file)):
                if len(pipes) < processes:
                    parent_end, child_end = context.Pipe()
                    child = context.Process(target=_serve, args=(options, form, child_end), daemon=True)
                    child.start()
                    child_end.close()
                    pipes.append(parent_end)
                    children.append(child)
                elif sent >= processes:
                    # Receive before sending the next batch; otherwise both sides could block on a write.
                    yield from _add_to_report(decode(pipes[sent % processes].recv_bytes()), path, report)
                pipes[sent % processes].send_bytes(encode(batch))
                sent += 1
            for number in range(max(0, sent - processes), sent):
                yield from _add_to_report(decode(pipes[number % processes].recv_bytes()), path, report)
    except (EOFError, ConnectionError):
        raise SourceError(f"{path}: a parser process ended unexpectedly") from None
    finally:
        for pipe in pipes:
            pipe.close()
        for child in children:
            child.join()


def _add_to_report(parsed: ParsedBatch, path: Path, report: Report) -> Iterator[Timed]:
    report.rows += parsed.rows
    for number, reason, detail in parsed.left:
        report.reject(reason, f"{path}: line {number}", detail)
    for note, count in parsed.notes.items():
        report.note(note, count)
    for number, has_full_seconds, request in parsed.requests:
        yield Timed(request, has_full_seconds, f"{path}: line {number}")


def _batches(numbered: Iterator[tuple[int, bytes | None, bool]]) -> Iterator[Batch]:
    batch: Batch = []
    size = 0
    for each in numbered:
        batch.append(each)
        size += len(each[1] or b"")
        if len(batch) >= BATCH_LINES or size >= BATCH_BYTES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch
