"""Checks that the installed dependencies of a program are complete and run on this machine.

`python -m brambleusher.deployment.dependencies system` (or `sidecar`) is a step of the builds. It exits
with 1 and one line on standard error if the dependencies have to be installed anew: they are missing, of
another version, cut short by an interrupted installation, or made for another interpreter or kind of machine.
"""

from __future__ import annotations

import importlib
import re
import sys
import sysconfig
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from importlib.metadata import Distribution, distributions
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FAULT_EXIT_STATUS = 1
USAGE_EXIT_STATUS = 2
REQUIREMENT = re.compile(r"([A-Za-z0-9._-]+)==(\S+)")


class DependencyError(Exception):
    """Raised when dependencies have to be installed anew; the message is one line."""


@dataclass(frozen=True, slots=True)
class Installation:
    """The dependencies of a program.

    Attributes:
        requirements: The file that pins them, one `name==version` a line.
        folder: Where they are installed.
        modules: The modules of the program that load all of them.
    """

    requirements: Path
    folder: Path
    modules: tuple[str, ...]


INSTALLATIONS = {
    "system": Installation(
        ROOT / "deploy" / "requirements-system.txt",
        ROOT / "target" / "deps",
        (
            "brambleusher.gateway.app",
            "brambleusher.controller.app",
            "brambleusher.controller.observer",
            "brambleusher.system_tools",
        ),
    ),
    "sidecar": Installation(
        ROOT / "requirements.txt", Path(sysconfig.get_path("purelib")), ("brambleusher.sidecar.main",)
    ),
}


def check(installation: Installation) -> None:
    """Check the files of an installation, then import the program.

    Raises:
        DependencyError: The dependencies have to be installed anew.
        OSError: The requirements can't be read.
    """
    found = {
        _normalized(each.metadata["Name"]): each for each in distributions(path=[str(installation.folder)])
    }
    pending = list(_pinned(installation.requirements.read_text(encoding="utf-8")))
    for name, version in pending:
        distribution = found.get(name)
        if distribution is None:
            raise DependencyError(f"{installation.folder}: {name} is not installed")
        if version and distribution.version != version:
            raise DependencyError(f"{installation.folder}: {name} is {distribution.version}, not {version}")
        _check_files(distribution)
        known = {each for each, _ in pending}
        pending += [(each, "") for each in _required(distribution) if each in found and each not in known]
    _import(installation)


def _pinned(requirements: str) -> Iterator[tuple[str, str]]:
    for line in requirements.splitlines():
        match = REQUIREMENT.match(line.strip())
        if match:
            yield _normalized(match[1]), match[2]


def _required(distribution: Distribution) -> Iterator[str]:
    """Yield the names of the distributions that one requires, without extras."""
    for requirement in distribution.requires or ():
        match = re.match(r"[A-Za-z0-9._-]+", requirement)
        if match and "extra ==" not in requirement:
            yield _normalized(match[0])


def _normalized(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def _check_files(distribution: Distribution) -> None:
    """Check that the files of a distribution have the sizes that were recorded at its installation."""
    for file in distribution.files or ():
        if file.size is None or ".." in file.parts:  # bytecode, and programs beside the modules
            continue
        path = Path(str(file.locate()))
        try:
            size = path.stat().st_size
        except OSError as error:
            raise DependencyError(f"{path}: {error.strerror}") from error
        if size != file.size:
            raise DependencyError(f"{path}: it has {size} bytes, not {file.size}")


def _import(installation: Installation) -> None:
    sys.path.insert(0, str(installation.folder))
    for module in installation.modules:
        try:
            importlib.import_module(module)
        except Exception as error:
            reason = str(error).splitlines()[0] if str(error) else type(error).__name__
            raise DependencyError(f"{installation.folder}: {module} can't be imported: {reason}") from error


def main(arguments: Sequence[str]) -> int:
    """Check the installation that the arguments name; return the exit status."""
    installation = INSTALLATIONS.get(arguments[0]) if len(arguments) == 1 else None
    if installation is None:
        print(f"brambleusher: dependencies: one of {', '.join(INSTALLATIONS)} is needed", file=sys.stderr)
        return USAGE_EXIT_STATUS
    try:
        check(installation)
    except (DependencyError, OSError) as error:
        print(f"brambleusher: dependencies: {error}", file=sys.stderr)
        return FAULT_EXIT_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
