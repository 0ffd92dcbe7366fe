"""Builds `target/bin/python3`, the interpreter that the roles of deploy/system.toml run on.

`python3 -m brambleusher.deployment.interpreter` is a step of the build. The program is the interpreter that
runs the build, started with reload signals blocked (`interpreter.c`), so that one that arrives before there
is a handler doesn't end the process. Without a compiler, or a shared library of the interpreter, the program
is a link to the interpreter.
"""

from __future__ import annotations

import json
import subprocess
import sys
import sysconfig
from pathlib import Path

SOURCE = Path(__file__).with_name("interpreter.c")
PROGRAM = Path(__file__).resolve().parents[2] / "target" / "bin" / "python3"
COMPILER = "gcc"
COMPILER_OPTIONS = ("-O2", "-Wall", "-Werror")
TIMEOUT_S = 60
# Printed by the built program, which must be the same interpreter as the one that runs the build.
IDENTITY = "import sys, sysconfig; print(sys.version, sys.prefix, sysconfig.get_config_var('SOABI'))"


class InterpreterBuildError(Exception):
    """Raised when the program can't be built; the message is one line."""


def find_library() -> Path:
    """Return the shared library of the interpreter that runs this.

    Raises:
        InterpreterBuildError: The interpreter has none, or it is not installed.
    """
    name = sysconfig.get_config_var("INSTSONAME")
    folder = sysconfig.get_config_var("LIBDIR")
    if not sysconfig.get_config_var("Py_ENABLE_SHARED") or not name or not folder:
        raise InterpreterBuildError("the interpreter has no shared library")
    path = Path(folder, name)
    if not path.is_file():
        raise InterpreterBuildError(f"the interpreter's shared library is not installed: {path}")
    return path


def find_interpreter() -> Path:
    """Return the interpreter that runs this, outside of any virtual environment."""
    return Path(getattr(sys, "_base_executable", None) or sys.executable).resolve()


def compile_program(path: Path, library: Path, interpreter: Path, compiler: str = COMPILER) -> None:
    """Compile the program to `path`, and check that it is the interpreter.

    Raises:
        InterpreterBuildError: There is no compiler, or the program does not run as the interpreter does.
    """
    # A JSON string of ASCII characters is a C string with the same content.
    definitions = [f"-DINTERPRETER={json.dumps(str(interpreter))}", f"-DLIBRARY={json.dumps(str(library))}"]
    _output_of([compiler, *COMPILER_OPTIONS, *definitions, "-o", str(path), str(SOURCE), "-ldl"])
    built, own = (_output_of([str(program), "-S", "-c", IDENTITY]) for program in (path, interpreter))
    if built != own:
        raise InterpreterBuildError(f"the program is {built!r}, and the interpreter {own!r}")


def _output_of(command: list[str]) -> str:
    """Return what a command prints; raise `InterpreterBuildError` if it fails."""
    try:
        completed = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    except (OSError, subprocess.TimeoutExpired) as error:
        raise InterpreterBuildError(f"{command[0]}: {error}") from error
    if completed.returncode:
        reason = (completed.stderr.strip().splitlines() or [f"status {completed.returncode}"])[-1]
        raise InterpreterBuildError(f"{command[0]}: {reason}")
    return completed.stdout


def build(program: Path = PROGRAM, compiler: str = COMPILER) -> None:
    """Build the program, or link it to the interpreter with a warning on standard error.

    The program is replaced in one step, as processes of an earlier build may be running it.

    Raises:
        OSError: The program can't be written.
    """
    program.parent.mkdir(parents=True, exist_ok=True)
    temporary = program.with_suffix(".new")
    temporary.unlink(missing_ok=True)
    interpreter = find_interpreter()
    try:
        compile_program(temporary, find_library(), interpreter, compiler)
    except InterpreterBuildError as error:
        print(
            f"brambleusher: a reload signal in the first moments of a process ends it: {error}",
            file=sys.stderr,
        )
        temporary.unlink(missing_ok=True)
        temporary.symlink_to(interpreter)
    temporary.replace(program)


if __name__ == "__main__":
    build()
