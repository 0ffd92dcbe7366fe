"""Convert times of sources to Unix nanoseconds; ambiguous times are rejected."""

from __future__ import annotations

import re
from datetime import UTC, date, datetime, timedelta, timezone, tzinfo
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from brambleusher.load.request import RejectedRow

SECOND = 1_000_000_000
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
UNITS = {"s": SECOND, "ms": 1_000_000, "us": 1_000, "ns": 1}
END_NS = 253_402_300_800 * SECOND  # start of the year 10000, in Unix nanoseconds

_ISO = re.compile(
    r"(\d{4})-(\d\d)-(\d\d)[Tt ](\d\d):(\d\d):(\d\d)(?:[.,](\d{1,18}))?\s*(?:([Zz])|([+-])(\d\d):?(\d\d))?\Z",
    re.A,
)
_NUMBER = re.compile(r"(\d{1,19})(?:\.(\d{1,18}))?\Z", re.A)


def find_time_zone(name: str) -> tzinfo:
    """Return the time zone with an IANA name; raises `ValueError` if there is none."""
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise ValueError(f"{name!r} is no time zone") from None


def from_datetime(moment: datetime, zone: tzinfo | None = None) -> int:
    """Convert to Unix nanoseconds; a time without a zone is taken to be in `zone`.  Raises `RejectedRow`."""
    if moment.tzinfo is None:
        if zone is None:
            raise RejectedRow("no-zone", moment.isoformat())
        moment = attach_zone(moment, zone)
    since_epoch = moment - EPOCH
    return (since_epoch.days * 86_400 + since_epoch.seconds) * SECOND + since_epoch.microseconds * 1_000


def attach_zone(moment: datetime, zone: tzinfo) -> datetime:
    """Attach a zone to a local time; raises `RejectedRow` if the zone has that time twice or not at all."""
    first, second = (moment.replace(tzinfo=zone, fold=fold) for fold in (0, 1))
    if first.utcoffset() == second.utcoffset():
        return first
    round_trip = first.astimezone(UTC).astimezone(zone).replace(tzinfo=None)
    raise RejectedRow("ambiguous-time" if round_trip == moment else "no-such-time", moment.isoformat())


def from_text(text: str, zone: tzinfo | None = None) -> tuple[int, bool, bool]:
    """Parse an ISO 8601 time to Unix nanoseconds, with flags for whole seconds and for a leap second.

    A leap second maps to the first instant of the next minute, as in Unix time.  Raises `RejectedRow`.
    """
    match = _ISO.match(text.strip())
    if match is None:
        raise RejectedRow("bad-time", text[:60])
    year, month, day, hour, minute, second = (int(digits) for digits in match.groups()[:6])
    fraction, utc, sign, hours, minutes = match.groups()[6:]
    leap = second == 60
    own_zone: tzinfo | None = None
    try:
        if utc:
            own_zone = UTC
        elif sign:
            offset = timedelta(hours=int(hours), minutes=int(minutes))
            own_zone = timezone(-offset if sign == "-" else offset)
        moment = datetime(year, month, day, hour, minute, 59 if leap else second, tzinfo=own_zone)
        at_ns = from_datetime(moment, zone)
    except (ValueError, OverflowError):
        raise RejectedRow("bad-time", text[:60]) from None
    at_ns += int((fraction or "").ljust(9, "0")[:9]) + (SECOND if leap else 0)
    if not 0 <= at_ns < END_NS:
        raise RejectedRow("bad-time", text[:60])
    return at_ns, fraction is None, leap


def from_number(value: int | float | str, unit: str) -> tuple[int, bool]:
    """Convert a Unix time in `unit` to nanoseconds, with a flag for whole seconds; raises `RejectedRow`."""
    text = format(value, ".9f") if isinstance(value, float) else str(value)
    match = _NUMBER.match(text.strip())
    if match is None:
        raise RejectedRow("bad-time", text[:60])
    scale = UNITS[unit]
    integer, fraction = match.groups()
    at_ns = int(integer) * scale + int((fraction or "").ljust(9, "0")[:9]) * scale // SECOND
    if at_ns >= END_NS:
        raise RejectedRow("bad-time", text[:60])
    return at_ns, unit == "s" and (fraction is None or not int(fraction))


def to_text(at_ns: int) -> str:
    """Format as ISO 8601 in UTC, with milliseconds, or with nanoseconds where needed."""
    seconds, nanos = divmod(at_ns, SECOND)
    stamp = (EPOCH + timedelta(seconds=seconds)).strftime("%Y-%m-%dT%H:%M:%S")
    digits = f"{nanos:09d}"
    return f"{stamp}.{digits[:3] if digits.endswith('000000') else digits}Z"


def utc_day(at_ns: int) -> date:
    """Return the day in UTC."""
    return (EPOCH + timedelta(seconds=at_ns // SECOND)).date()
