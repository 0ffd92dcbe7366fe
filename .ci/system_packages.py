"""Check that the deploy files list every Debian package that a clean machine needs to build and run them.

    python .ci/system_packages.py [FILE ...]

The required packages provide the programs that `build`, `run` and `sim` name, the modules that these run with
the interpreter of the system, certificates for downloads, and every shared library that an installed
extension module loads.  The build must have run before.  Packages that every Debian system has (essential
packages and their dependencies) need not be listed.
"""

from __future__ import annotations

import re
import shlex
import subprocess
import sys
import tomllib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from importlib.metadata import distributions
from pathlib import Path
from typing import Any, Protocol

ROOT = Path(__file__).resolve().parent.parent
DEPLOY_FILES = ("deploy/system.toml", "deploy/balancer.toml")
# Machines of the system also run the checks and the sidecar, which a virtual environment contains.
ALSO_BUILT_BY = {"deploy/system.toml": ("deploy/balancer.toml",)}
LINE_KEYS = ("build", "run", "sim")
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")  # package names by Debian policy, section 5.6.1

# Packages that provide programs and modules whose files are spread over several packages.
PROGRAM_PACKAGES = {"python3": "python3"}
MODULE_PACKAGES = {
    "pip": ("python3-pip",),
    "venv": ("python3-venv",),
    # It compiles a program, which loads the shared library of the interpreter.
    "brambleusher.deployment.interpreter": ("gcc", "libc6-dev", "libpython3-dev"),
}
FETCHING_MODULES = frozenset({"pip"})
CERTIFICATES = "ca-certificates"

SHELL_WORDS = frozenset({"{", "}", "(", ")", "exec", "!"})  # words that a program may follow
SHELL_BUILTINS = frozenset({"trap"})
SHELL_SEPARATORS = frozenset({"&&", "||", ";", "|", "&"})


class PackageError(Exception):
    """A deploy file or an installation is wrong; the message names file, key and value in one line."""


@dataclass(frozen=True, slots=True)
class Need:
    """A required package, with the reason."""

    package: str
    reason: str


class PackageDatabase(Protocol):
    """Package database of this machine."""

    def owner(self, path: str) -> str | None:
        """Return the package that a file belongs to."""

    def essential(self) -> frozenset[str]:
        """Return the packages that every Debian system has."""


class Dpkg:
    """Package database of a Debian machine."""

    def owner(self, path: str) -> str | None:
        """Return the package that a file belongs to; files of /usr/lib may be registered under /lib."""
        moved = path.removeprefix("/usr") if path.startswith("/usr/") else f"/usr{path}"
        for candidate in (path, moved):
            completed = subprocess.run(["dpkg", "-S", candidate], capture_output=True, text=True, check=False)
            for line in completed.stdout.splitlines():
                if not line.startswith("diversion by"):
                    return line.partition(":")[0]
        return None

    def essential(self) -> frozenset[str]:
        """Return the essential packages and all that they depend on."""
        form = "${Package}\t${Essential}\t${Pre-Depends}, ${Depends}\n"
        completed = subprocess.run(
            ["dpkg-query", "-W", "-f", form], capture_output=True, text=True, check=True
        )
        rows = [line.split("\t") for line in completed.stdout.splitlines()]
        depends = {
            name: set(re.findall(r"(?:^|[,|]\s*)([a-z0-9][a-z0-9+.-]+)", rest)) for name, _, rest in rows
        }
        found = {name for name, is_essential, _ in rows if is_essential == "yes"}
        pending = list(found)
        while pending:
            new_packages = depends.get(pending.pop(), set()) - found
            found |= new_packages
            pending += new_packages
        return frozenset(found)


def command_lines(deploy: dict[str, Any]) -> Iterator[str]:
    """Yield all lines of a deploy file that start programs."""
    yield from (deploy[key] for key in LINE_KEYS if key in deploy)
    yield from (role["run"] for role in deploy.get("roles", {}).values())


def commands(line: str) -> Iterator[list[str]]:
    """Split a shell line into the commands that it may run, each a program and its arguments."""
    lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    command: list[str] = []
    for word in lexer:
        if word in SHELL_SEPARATORS:
            yield from [command] if command else []
            command = []
        elif command or word not in SHELL_WORDS:
            command.append(word)
    yield from [command] if command else []


def needs_of_line(line: str, database: PackageDatabase) -> Iterator[Need]:
    """Yield the packages that the commands of a line need; programs of the checkout need none."""
    for command in commands(line):
        program = command[0]
        module = command[command.index("-m") + 1] if "-m" in command else ""
        if module in FETCHING_MODULES:
            yield Need(CERTIFICATES, f"{program} -m {module} fetches")
        if "/" in program or program in SHELL_BUILTINS:
            continue
        yield Need(_package_of_program(program, database), f"program {program}")
        for package in MODULE_PACKAGES.get(module, ()):
            yield Need(package, f"{program} -m {module}")


def _package_of_program(program: str, database: PackageDatabase) -> str:
    if program in PROGRAM_PACKAGES:
        return PROGRAM_PACKAGES[program]
    for folder in ("/usr/bin", "/bin", "/usr/sbin", "/sbin"):
        owner = database.owner(f"{folder}/{program}")
        if owner is not None:
            return owner
    raise PackageError(f"{program}: no package of this machine has this program")


def loaded_libraries(extension: Path) -> Iterator[str]:
    """Yield the shared libraries of the system that an extension module loads."""
    completed = subprocess.run(["ldd", str(extension)], capture_output=True, text=True, check=False)
    for name, path in re.findall(r"^\s*(\S+) => (\S+)", completed.stdout, re.MULTILINE):
        if path == "not":  # ldd prints "=> not found"
            raise PackageError(f"{extension}: {name} is on this machine in no package")
        if not Path(path).resolve().is_relative_to(ROOT):
            yield path


def needs_of_libraries(extensions: Iterable[Path], database: PackageDatabase) -> Iterator[Need]:
    """Yield the packages of the libraries that extension modules load."""
    seen: set[str] = set()
    for extension in extensions:
        for library in loaded_libraries(extension):
            if library in seen:
                continue
            seen.add(library)
            owner = database.owner(library)
            if owner is None:
                raise PackageError(f"{library}: no package has it; {extension.name} loads it")
            yield Need(owner, f"{Path(library).name}, loaded by {extension.name}")


def installed_extensions(line: str) -> Iterator[Path]:
    """Yield the extension modules of all distributions that `pip install` in a build line installs."""
    for command in commands(line):
        if "install" not in command:
            continue
        folder = ROOT / command[command.index("--target") + 1] if "--target" in command else _site_packages()
        requirements = (ROOT / command[command.index("-r") + 1]).read_text(encoding="utf-8")
        found = {normalized(each.name): each for each in distributions(path=[str(folder)])}
        pending = [normalized(each) for each in requirements.splitlines() if each.strip()]
        for name in pending:
            if name not in found:
                raise PackageError(f"{folder}: {name} is not installed: run the build first")
            requires = [normalized(each) for each in found[name].requires or [] if "extra ==" not in each]
            pending += [each for each in requires if each in found and each not in pending]
            files = found[name].files or []
            yield from (Path(str(file.locate())) for file in files if ".so" in file.suffixes)


def normalized(requirement: str) -> str:
    """Return the normalized distribution name of a requirement."""
    match = re.match(r"[A-Za-z0-9._-]+", requirement.strip())
    return re.sub(r"[-_.]+", "-", match[0]).lower() if match else ""


def _site_packages() -> Path:
    (folder,) = (ROOT / ".venv" / "lib").glob("python3*/site-packages")
    return folder


def listed_packages(name: str, deploy: dict[str, Any]) -> list[str]:
    """Return the packages that a deploy file lists; raises `PackageError` if the list is invalid."""
    packages = deploy.get("packages")
    if not isinstance(packages, list):
        raise PackageError(f"{name}: packages: it is no list")
    for package in packages:
        if not isinstance(package, str) or not PACKAGE_NAME.fullmatch(package):
            raise PackageError(f"{name}: packages: {package!r} is no package name")
    return packages


def faults(name: str, listed: Sequence[str], needs: Iterable[Need], essential: frozenset[str]) -> list[str]:
    """Return a message for each missing and each superfluous package."""
    wanted = [need for need in needs if need.package not in essential]
    found = [
        f"{name}: packages: {need.package} is missing ({need.reason})"
        for need in wanted
        if need.package not in listed
    ]
    needed = {need.package for need in wanted}
    found += [
        f"{name}: packages: {each} is listed, and nothing needs it" for each in listed if each not in needed
    ]
    return list(dict.fromkeys(found))


def check(name: str, database: PackageDatabase) -> list[str]:
    """Return the faults of a deploy file of this checkout, whose build must have run."""
    path = ROOT / name
    deploy = tomllib.loads(path.read_text(encoding="utf-8"))
    listed = listed_packages(name, deploy)
    lines = list(command_lines(deploy))
    for other in ALSO_BUILT_BY.get(name, ()):
        lines += command_lines(tomllib.loads((ROOT / other).read_text(encoding="utf-8")))
    needs = [need for line in lines for need in needs_of_line(line, database)]
    extensions = [extension for line in lines for extension in installed_extensions(line)]
    needs += needs_of_libraries(extensions, database)
    return faults(name, listed, needs, database.essential())


def main(names: Sequence[str]) -> int:
    """Check deploy files; return 1 if one has a fault."""
    database = Dpkg()
    try:
        found = [fault for name in names or DEPLOY_FILES for fault in check(name, database)]
    except (PackageError, OSError, subprocess.CalledProcessError) as error:
        found = [str(error)]
    print("\n".join(found) or "the deploy files list the packages that they need")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
