"""Times as sources write them, to Unix nanoseconds.  What can be read in two ways is left out."""

from __future__ import annotations

import re
from datetime import UTC, date, datetime, timedelta, timezone, tzinfo
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from brambleusher.load.request import LeftOut

SECOND = 1_000_000_000
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
UNITS = {"s": SECOND, "ms": 1_000_000, "us": 1_000, "ns": 1}
LATEST = 253_402_300_800 * SECOND  # the year 10000

_ISO = re.compile(
    r"(\d{4})-(\d\d)-(\d\d)[Tt ](\d\d):(\d\d):(\d\d)(?:[.,](\d{1,18}))?\s*(?:([Zz])|([+-])(\d\d):?(\d\d))?\Z",
    re.A,
)
_NUMBER = re.compile(r"(\d{1,19})(?:\.(\d{1,18}))?\Z", re.A)


def zone_of(name: str) -> tzinfo:
    """A zone by its IANA name; raises `ValueError` where there is none."""
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise ValueError(f"{name!r} is no time zone") from None


def from_datetime(moment: datetime, zone: tzinfo | None = None) -> int:
    """Unix nanoseconds; a moment without a zone is taken to be in `zone`, raises `LeftOut`."""
    if moment.tzinfo is None:
        if zone is None:
            raise LeftOut("no-zone", moment.isoformat())
        moment = in_zone(moment, zone)
    passed = moment - EPOCH
    return (passed.days * 86_400 + passed.seconds) * SECOND + passed.microseconds * 1_000


def in_zone(moment: datetime, zone: tzinfo) -> datetime:
    """A local time as a moment; raises `LeftOut` where the zone had it twice or never that day."""
    first, second = (moment.replace(tzinfo=zone, fold=fold) for fold in (0, 1))
    if first.utcoffset() == second.utcoffset():
        return first
    back = first.astimezone(UTC).astimezone(zone).replace(tzinfo=None)
    raise LeftOut("ambiguous-time" if back == moment else "no-such-time", moment.isoformat())


def from_text(text: str, zone: tzinfo | None = None) -> tuple[int, bool, bool]:
    """ISO 8601 with date and time: Unix nanoseconds, whether in whole seconds, whether a leap second.

    A leap second is the first instant of the next minute, as Unix time has it.  Raises `LeftOut`.
    """
    found = _ISO.match(text.strip())
    if found is None:
        raise LeftOut("bad-time", text[:60])
    year, month, day, hour, minute, second = (int(part) for part in found.groups()[:6])
    fraction, utc, sign, hours, minutes = found.groups()[6:]
    leap = second == 60
    own: tzinfo | None = None
    try:
        if utc:
            own = UTC
        elif sign:
            offset = timedelta(hours=int(hours), minutes=int(minutes))
            own = timezone(-offset if sign == "-" else offset)
        moment = datetime(year, month, day, hour, minute, 59 if leap else second, tzinfo=own)
        at_ns = from_datetime(moment, zone)
    except (ValueError, OverflowError):
        raise LeftOut("bad-time", text[:60]) from None
    at_ns += int((fraction or "").ljust(9, "0")[:9]) + (SECOND if leap else 0)
    if not 0 <= at_ns < LATEST:
        raise LeftOut("bad-time", text[:60])
    return at_ns, fraction is None, leap


def from_number(value: int | float | str, unit: str) -> tuple[int, bool]:
    """Unix time in a unit: nanoseconds, and whether it is in whole seconds.  Raises `LeftOut`."""
    text = format(value, ".9f") if isinstance(value, float) else str(value)
    found = _NUMBER.match(text.strip())
    if found is None:
        raise LeftOut("bad-time", text[:60])
    scale = UNITS[unit]
    whole, fraction = found.groups()
    at_ns = int(whole) * scale + int((fraction or "").ljust(9, "0")[:9]) * scale // SECOND
    if at_ns >= LATEST:
        raise LeftOut("bad-time", text[:60])
    return at_ns, unit == "s" and (fraction is None or not int(fraction))


def to_text(at_ns: int) -> str:
    """ISO 8601 in UTC, with all nine digits of the second only where they are needed."""
    seconds, rest = divmod(at_ns, SECOND)
    stamp = (EPOCH + timedelta(seconds=seconds)).strftime("%Y-%m-%dT%H:%M:%S")
    digits = f"{rest:09d}"
    return f"{stamp}.{digits[:3] if digits.endswith('000000') else digits}Z"


def day_of(at_ns: int) -> date:
    """The day in UTC."""
    return (EPOCH + timedelta(seconds=at_ns // SECOND)).date()
