"""brambleusher is a sidecar load balancer that implements the decisions of `loadbalancing` on sockets.

Importing the package has no side effects. To embed a sidecar, create `Sidecar(parse_config(text, env))` and
call `start()` and `run()`.
"""

import sys

__version__ = "0.1.0"

OLDEST_PYTHON = (3, 11)


def python_version_error(version: "tuple[int, ...]") -> "str | None":
    """Return the error for an unsupported Python version, or None for a supported version."""
    if tuple(version[:2]) >= OLDEST_PYTHON:
        return None
    oldest, found = (".".join(str(part) for part in each[:2]) for each in (OLDEST_PYTHON, version))
    return f"brambleusher: Python {oldest} or newer is needed, this is {found}"


def _check_python() -> None:
    """Reject an interpreter that is too old before it parses unsupported syntax.

    Raises:
        SystemExit: The program was started by `python -m`; the message is one line.
        ImportError: The package is imported as a library.
    """
    error = python_version_error(sys.version_info[:2])
    if error is None:
        return
    if sys.argv[:1] == ["-m"]:
        sys.exit(error)
    raise ImportError(error)


_check_python()
