"""A signal within a step that must not be left half done comes at the step's end."""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from types import FrameType

import pytest

from brambleusher.lab.processes.deferred_signals import DEFERRED, signals_deferred


class SignalledError(Exception):
    """Raised by the handler that the tests install."""


def raise_signalled(_number: int, _frame: FrameType | None) -> None:
    raise SignalledError


@pytest.fixture(autouse=True)
def handlers() -> Iterator[None]:
    previous = {each: signal.signal(each, raise_signalled) for each in DEFERRED}
    yield
    for each, handler in previous.items():
        signal.signal(each, handler)


def handlers_are_restored() -> bool:
    return all(signal.getsignal(each) is raise_signalled for each in DEFERRED)


@pytest.mark.parametrize("number", DEFERRED)
def test_a_signal_comes_at_the_end_of_the_block(number: signal.Signals) -> None:
    done = []
    with pytest.raises(SignalledError), signals_deferred():
        signal.raise_signal(number)
        done.append("the rest of the block")
    assert done == ["the rest of the block"]
    assert handlers_are_restored()


def test_a_signal_comes_also_where_the_block_raises() -> None:
    with pytest.raises(SignalledError) as raised, signals_deferred():
        signal.raise_signal(signal.SIGINT)
        raise OSError("no process")
    assert isinstance(raised.value.__context__, OSError)


def test_without_a_signal_nothing_changes() -> None:
    with signals_deferred():
        assert not handlers_are_restored()
    assert handlers_are_restored()


def test_another_thread_leaves_the_handlers_alone() -> None:
    seen: list[bool] = []

    def work() -> None:
        with signals_deferred():
            seen.append(handlers_are_restored())

    thread = threading.Thread(target=work)
    thread.start()
    thread.join()
    assert seen == [True]
