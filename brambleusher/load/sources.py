"""Sources by their form: which one a file is, and its requests one by one."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from brambleusher.load.mapping import Mapping, Reader
from brambleusher.load.opening import Progress, lines, open_source
from brambleusher.load.ordering import Timed
from brambleusher.load.report import Report
from brambleusher.load.request import LeftOut, Request, Row, SourceError

FORMS = ("har", "access", "json", "capture")
LOOK = 256 * 1024
_HAR = re.compile(rb'\{\s*"log"\s*:\s*\{')


class LineReader(Protocol):
    """Lines of one form to rows."""

    def row(self, number: int, line: bytes) -> Row | None:
        """One line; None where it is none of demand's.  Raises `LeftOut`."""


@dataclass(frozen=True)
class How:
    """How sources are to be read."""

    mapping: Mapping = field(default_factory=Mapping)
    form: str | None = None  # one of `FORMS`; None: by the file
    log_format: str | None = None  # of access logs

    def line_reader(self, form: str) -> LineReader:
        """The reader of a form's lines; raises `SourceError`."""
        reader = Reader(self.mapping)
        if form == "access":
            from brambleusher.load.access_log import FORMATS, AccessLog

            if self.log_format is None:
                raise SourceError(
                    f"an access log needs --log-format: a LogFormat, or one of {', '.join(FORMATS)}"
                )
            try:
                return AccessLog(self.log_format, reader.zone)
            except ValueError as error:
                raise SourceError(str(error)) from None
        if form == "json":
            from brambleusher.load.json_lines import JsonLines

            return JsonLines(self.mapping.fields, self.mapping.time.unit, reader.zone)
        from brambleusher.load.captures import Captures

        return Captures()


def form_of(path: Path) -> str:
    """Which form a file is of, by how it begins; raises `SourceError`."""
    with open_source(path) as file:
        head = file.read(LOOK)
    head = head.removeprefix(b"\xef\xbb\xbf").lstrip()
    if head.startswith(b'{"ev":"start"') or b'\n{"ev":"start"' in head:
        return "capture"
    if not head.startswith(b"{"):
        return "access"
    # A HAR file is one object with one key; a log's line has others before such a one, or beside it.
    return "har" if _HAR.match(head) else "json"


def rows(path: Path, form: str, how: How, progress: Progress | None) -> Iterator[Row | tuple[int, LeftOut]]:
    """The rows of a file, and what is left out of it; raises `SourceError`."""
    with open_source(path, progress) as file:
        if form == "har":
            from brambleusher.load.har import rows as entries

            yield from entries(file, str(path))
            return
        reader = how.line_reader(form)
        for number, line, whole in lines(file):
            try:
                if line is None:
                    raise LeftOut("too-long")
                row = line_row(reader, number, line)
                if row is not None:
                    yield row
            except LeftOut as why:
                cut = not whole and why.reason in ("unreadable", "encoding")
                yield number, LeftOut("cut-line", why.detail) if cut else why
            except ValueError as error:  # a capture's header
                raise SourceError(f"{path}: line {number}: {error}") from None


def line_row(reader: LineReader, number: int, line: bytes) -> Row | None:
    """One line; empty ones are passed over.  Raises `LeftOut`."""
    if number == 1:
        line = line.removeprefix(b"\xef\xbb\xbf")
    return reader.row(number, line) if line.strip() else None


def requests(
    path: Path, form: str, how: How, report: Report, progress: Progress | None = None
) -> Iterator[Timed]:
    """The requests of a file in its own order; what is left out goes to the report."""
    read = Reader(how.mapping).request
    unit = "entry" if form == "har" else "line"
    for row in rows(path, form, how, progress):
        report.rows += 1
        if isinstance(row, tuple):
            report.leave(row[1].reason, f"{path}: {unit} {row[0]}", row[1].detail)
            continue
        place = f"{path}: {unit} {row.place}"
        try:
            request = read(row)
        except LeftOut as why:
            report.leave(why.reason, place, why.detail)
            continue
        noted(report.note, request, row.whole, row.leap)
        yield Timed(request, row.whole, place)


def noted(note: Callable[[str], None], request: Request, whole: bool, leap: bool) -> None:
    """Say what is to be known of a request that stays."""
    if whole:
        note("whole-seconds")
    if leap:
        note("leap-second")
    if request.status is not None and request.status // 100 == 3 and request.status != 304:
        note("redirect")
    if request.body is None and request.size:
        note("body-not-known")
