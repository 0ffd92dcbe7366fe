"""Faults that a test puts into one part of consensus: a subclass of the part in place of the right one."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from brambleusher.controlplane.consensus import raft


@contextmanager
def installed(fault: type) -> Iterator[None]:
    """Let every replica that is made meanwhile have this part in place of the class that it derives from."""
    part = next(base for base in fault.__mro__ if vars(raft).get(base.__name__) is base)
    with mock.patch.object(raft, part.__name__, fault):
        yield
