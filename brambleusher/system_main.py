"""Starts one role of the whole serving system; everything else on its command line is `fire`'s."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from brambleusher import logs
from brambleusher.runtime.disk import FolderDisk
from brambleusher.runtime.real import RealSystem
from brambleusher.wire import settings as reader
from brambleusher.wire.errors import InvalidSettings

SETTINGS_VARIABLE = "BRAMBLEUSHER_SETTINGS"
USAGE_STATUS = 2


def start(role: str, path: str) -> int:
    """Run a role with a settings file until it ends; the exit status."""
    logs.configure()
    try:
        settings = reader.read(path)
    except InvalidSettings as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return USAGE_STATUS
    if role == "gateway":
        from brambleusher.gateway import Gateway

        Gateway(RealSystem(), settings, path).run()
        return 0
    from brambleusher.controller import Controller

    if not settings.data_dir:
        print(f"brambleusher: {path}: data_dir: a controller needs a folder", file=sys.stderr)
        return USAGE_STATUS
    Controller(RealSystem(), settings, FolderDisk(settings.data_dir), path).run()
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """`gateway`, `controller`, or one of the tools; the exit status."""
    words = sys.argv[1:] if arguments is None else list(arguments)
    if words[:1] in (["gateway"], ["controller"]) and len(words) == 1:
        path = os.environ.get(SETTINGS_VARIABLE, "")
        if not path:
            print(f"brambleusher: {SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
            return USAGE_STATUS
        return start(words[0], path)
    from brambleusher.system_tools import run

    return run(words)


if __name__ == "__main__":
    sys.exit(main())
