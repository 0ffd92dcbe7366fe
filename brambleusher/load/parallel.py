"""Lines read by one process and parsed by several, in order and with few lines on their way at a time."""

from __future__ import annotations

import multiprocessing
from collections import deque
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from pathlib import Path

import msgspec

from brambleusher.load.mapping import Reader
from brambleusher.load.opening import Progress, lines, open_source
from brambleusher.load.ordering import Timed
from brambleusher.load.report import Report
from brambleusher.load.request import LeftOut, Request, SourceError
from brambleusher.load.sources import How, LineReader, line_row, noted

BATCH_LINES, BATCH_BYTES = 1000, 256 * 1024
Batch = list[tuple[int, bytes | None, bool]]


class Parsed(msgspec.Struct, array_like=True):
    """What a batch came to."""

    rows: int = 0
    requests: list[tuple[int, bool, Request]] = []
    left: list[tuple[int, str, str]] = []
    notes: dict[str, int] = {}

    def note(self, what: str) -> None:
        """As a report has it."""
        self.notes[what] = self.notes.get(what, 0) + 1


class Worker:
    """Parses batches in a process of its own."""

    def __init__(self, how: How, form: str) -> None:
        self._reader: LineReader = how.line_reader(form)
        self._request = Reader(how.mapping).request

    def parse(self, batch: Batch) -> bytes:
        """A batch, parsed, as MessagePack."""
        parsed = Parsed()
        for number, line, whole in batch:
            try:
                if line is None:
                    raise LeftOut("too-long")
                row = line_row(self._reader, number, line)
                if row is None:
                    continue
                request = self._request(row)
            except LeftOut as why:
                cut = not whole and why.reason in ("unreadable", "encoding")
                parsed.left.append((number, "cut-line" if cut else why.reason, why.detail))
                continue
            noted(parsed.note, request, row.whole, row.leap)
            parsed.requests.append((number, row.whole, request))
        parsed.rows = len(parsed.requests) + len(parsed.left)
        return msgspec.msgpack.encode(parsed)


_worker: list[Worker] = []  # of a pool's process: a function it calls has no other place for it


def _begin(how: How, form: str) -> None:
    _worker[:] = [Worker(how, form)]


def _parse(batch: Batch) -> bytes:
    return _worker[0].parse(batch)


def requests(
    path: Path, form: str, how: How, report: Report, processes: int, progress: Progress | None = None
) -> Iterator[Timed]:
    """The requests of a file of lines in its own order, as `sources.requests` has them."""
    how.line_reader(form)  # a fault in it is told here, not by each process
    decode = msgspec.msgpack.Decoder(Parsed).decode
    with (
        open_source(path, progress) as file,
        ProcessPoolExecutor(processes, multiprocessing.get_context("spawn"), _begin, (how, form)) as pool,
    ):
        due: deque[Future[bytes]] = deque()
        try:
            for batch in _batches(lines(file)):
                due.append(pool.submit(_parse, batch))
                if len(due) > 2 * processes:
                    yield from _taken(decode(due.popleft().result()), path, report)
            while due:
                yield from _taken(decode(due.popleft().result()), path, report)
        except BrokenProcessPool:
            raise SourceError(f"{path}: a process that parses it ended") from None
        finally:
            pool.shutdown(wait=True, cancel_futures=True)


def _taken(parsed: Parsed, path: Path, report: Report) -> Iterator[Timed]:
    report.rows += parsed.rows
    for number, reason, detail in parsed.left:
        report.leave(reason, f"{path}: line {number}", detail)
    for what, count in parsed.notes.items():
        report.note(what, count)
    for number, whole, request in parsed.requests:
        yield Timed(request, whole, f"{path}: line {number}")


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
