"""The program's start: serving is read here, with nothing that serving does not need; else `cli`."""

from __future__ import annotations

import sys
from collections.abc import Sequence


def serving(words: Sequence[str]) -> dict[str, str] | None:
    """The options of a command line that says to serve and says it plainly; None for any other."""
    options: dict[str, str] = {}
    rest = iter(words)
    for word in rest:
        name, equals, value = word.partition("=")
        if not equals:
            value = next(rest, "")
        if name not in ("--operator", "--log-format") or not value or value.startswith("-"):
            return None
        options[name] = value
    return None if options.get("--log-format", "logfmt") not in ("logfmt", "json") else options


def main(arguments: Sequence[str] | None = None) -> int:
    """One command; the exit status is what it returns."""
    words = sys.argv[1:] if arguments is None else list(arguments)
    options = serving(words)
    if options is not None:
        from brambleusher.sidecar.main import run

        return run(options.get("--operator"), options.get("--log-format", "logfmt"))
    from brambleusher.cli import call

    return call(words)


if __name__ == "__main__":
    sys.exit(main())
