"""brambleusher: a sidecar load balancer on real sockets, around the decisions of `loadbalancing`.

Importing it does no work.  To embed one: `Sidecar(parse_config(text, env))`, `start()`, `run()`.
"""

import sys

__version__ = "0.1.0"

OLDEST_PYTHON = (3, 11)


def python_version_error(version: "tuple[int, ...]") -> "str | None":
    """Return why an interpreter's version won't do; None where it does."""
    if tuple(version[:2]) >= OLDEST_PYTHON:
        return None
    oldest, found = (".".join(str(part) for part in each[:2]) for each in (OLDEST_PYTHON, version))
    return f"brambleusher: Python {oldest} or newer is needed, this is {found}"


def _check_python() -> None:
    """Refuse an interpreter that is too old before it reads syntax that it does not know.

    Raises:
        SystemExit: `python -m` looks for a program; its message is one line.
        ImportError: The package is imported as a library.
    """
    error = python_version_error(sys.version_info[:2])
    if error is None:
        return
    if sys.argv[:1] == ["-m"]:
        sys.exit(error)
    raise ImportError(error)


_check_python()
