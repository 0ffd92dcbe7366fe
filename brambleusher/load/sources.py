"""Detect the format of a source file and read its requests."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from brambleusher.load.mapping import Mapping, RowConverter
from brambleusher.load.opening import Progress, lines, open_source
from brambleusher.load.ordering import Timed
from brambleusher.load.report import Report
from brambleusher.load.request import RejectedRow, Request, Row, SourceError

FORMS = ("har", "access", "json", "capture")
DETECTION_BYTES = 256 * 1024
_HAR = re.compile(rb'\{\s*"log"\s*:\s*\{')


class LineReader(Protocol):
    """Converts lines of one format to rows."""

    def row(self, number: int, line: bytes) -> Row | None:
        """Convert one line to a row, or to None if the line is no request; raises `RejectedRow`."""


@dataclass(frozen=True)
class ReadOptions:
    """Options for reading sources."""

    mapping: Mapping = field(default_factory=Mapping)
    form: str | None = None  # one of `FORMS`; None to detect the format
    log_format: str | None = None  # LogFormat of access logs

    def line_reader(self, form: str) -> LineReader:
        """Return the line reader of a format; raises `SourceError`."""
        reader = RowConverter(self.mapping)
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


def detect_format(path: Path) -> str:
    """Detect the format of a file from its beginning; raises `SourceError`."""
    with open_source(path) as file:
        head = file.read(DETECTION_BYTES)
    head = head.removeprefix(b"\xef\xbb\xbf").lstrip()
    if head.startswith(b'{"ev":"start"') or b'\n{"ev":"start"' in head:
        return "capture"
    if not head.startswith(b"{"):
        return "access"
    # A HAR file begins with a `log` key that has an object as value; the lines of a JSON log do not.
    return "har" if _HAR.match(head) else "json"


def rows(
    path: Path, form: str, options: ReadOptions, progress: Progress | None
) -> Iterator[Row | tuple[int, RejectedRow]]:
    """Yield the rows of a file, and rejections with their number; raises `SourceError`."""
    with open_source(path, progress) as file:
        if form == "har":
            from brambleusher.load.har import rows as entries

            yield from entries(file, str(path))
            return
        reader = options.line_reader(form)
        for number, line, has_line_ending in lines(file):
            try:
                if line is None:
                    raise RejectedRow("too-long")
                row = line_row(reader, number, line)
                if row is not None:
                    yield row
            except RejectedRow as rejection:
                truncated = not has_line_ending and rejection.reason in ("unreadable", "encoding")
                yield number, RejectedRow("cut-line", rejection.detail) if truncated else rejection
            except ValueError as error:  # the header of a capture is invalid
                raise SourceError(f"{path}: line {number}: {error}") from None


def line_row(reader: LineReader, number: int, line: bytes) -> Row | None:
    """Convert one line to a row, or to None if the line is blank or no request; raises `RejectedRow`."""
    if number == 1:
        line = line.removeprefix(b"\xef\xbb\xbf")
    return reader.row(number, line) if line.strip() else None


def requests(
    path: Path, form: str, options: ReadOptions, report: Report, progress: Progress | None = None
) -> Iterator[Timed]:
    """Yield the requests of a file in file order; rejected rows go to the report."""
    convert = RowConverter(options.mapping).request
    unit = "entry" if form == "har" else "line"
    for row in rows(path, form, options, progress):
        report.rows += 1
        if isinstance(row, tuple):
            report.reject(row[1].reason, f"{path}: {unit} {row[0]}", row[1].detail)
            continue
        position = f"{path}: {unit} {row.number}"
        try:
            request = convert(row)
        except RejectedRow as rejection:
            report.reject(rejection.reason, position, rejection.detail)
            continue
        record_notes(report.note, request, row.has_full_seconds, row.leap)
        yield Timed(request, row.has_full_seconds, position)


def record_notes(note: Callable[[str], None], request: Request, has_full_seconds: bool, leap: bool) -> None:
    """Report notable properties of an accepted request."""
    if has_full_seconds:
        note("whole-seconds")
    if leap:
        note("leap-second")
    if request.status is not None and request.status // 100 == 3 and request.status != 304:
        note("redirect")
    if request.body is None and request.size:
        note("body-not-known")
