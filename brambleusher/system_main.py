"""Starts one role of the whole serving system; everything else on its command line is `fire`'s."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from brambleusher.observability import log_format as logs
from brambleusher.runtime.disk import FolderDisk
from brambleusher.runtime.operating_system import RealSystem
from brambleusher.wire import policy as policy_reader
from brambleusher.wire import settings as reader
from brambleusher.wire.errors import InvalidFileError
from brambleusher.wire.policy import Policy

SETTINGS_VARIABLE = "BRAMBLEUSHER_SETTINGS"
USAGE_STATUS = 2
MEMBER = "member"
ROLES = ("gateway", "controller", MEMBER)


def start(role: str, path: str, policy_path: str = "") -> int:
    """Run a role with a settings file until it ends; the exit status."""
    logs.configure()
    try:
        settings = reader.read(path)
        policy = policy_reader.read(policy_path) if policy_path else Policy()
    except InvalidFileError as error:
        print(f"brambleusher: {error}", file=sys.stderr)
        return USAGE_STATUS
    if role == "gateway":
        from brambleusher.gateway.app import Gateway

        Gateway(RealSystem(), settings, path, policy).run()
        return 0
    if not settings.data_dir:
        return _start_without_disk(role, settings, path)
    from brambleusher.controller.app import Controller

    Controller(RealSystem(), settings, FolderDisk(settings.data_dir), path).run()
    return 0


def _start_without_disk(role: str, settings: reader.Settings, path: str) -> int:
    """Where a controller may run on any machine of a class, one without a disk passes calls on."""
    if role != MEMBER:
        print(f"brambleusher: {path}: data_dir: a controller needs a folder", file=sys.stderr)
        return USAGE_STATUS
    from brambleusher.controller.observer import Observer

    Observer(RealSystem(), settings, path).run()
    return 0


def main(arguments: Sequence[str] | None = None) -> int:
    """`gateway`, `controller`, `member`, or one of the tools; the exit status.

    A gateway takes `--policy FILE` too.  A `member` of the control plane is a controller where its
    machine has a disk, and else an observer.
    """
    words = sys.argv[1:] if arguments is None else list(arguments)
    policy_path = ""
    if words[:2] == ["gateway", "--policy"] and len(words) == 3:
        words, policy_path = words[:1], words[2]
    if len(words) == 1 and words[0] in ROLES:
        path = os.environ.get(SETTINGS_VARIABLE, "")
        if not path:
            print(f"brambleusher: {SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
            return USAGE_STATUS
        return start(words[0], path, policy_path)
    from brambleusher.system_tools import run

    return run(words)


if __name__ == "__main__":
    sys.exit(main())
