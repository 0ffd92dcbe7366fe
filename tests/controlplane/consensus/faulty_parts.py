"""Injection of faults into a component of consensus: a faulty subclass replaces the component."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from brambleusher.controlplane.consensus import raft


@contextmanager
def injected_fault(fault: type) -> Iterator[None]:
    """Replace a component by its faulty subclass in every replica that is created within the context."""
    part = next(base for base in fault.__mro__ if vars(raft).get(base.__name__) is base)
    with mock.patch.object(raft, part.__name__, fault):
        yield
