"""The independent checker: its own books, kept from the bytes on the virtual wire.

It shares no code with the program: requests, answers, lists and load reports are read by its own readers.
Only `rerun` calls the program, since what it checks is the program's own replay.
"""

from brambleusher.lab.checker.books import Breach, Execution, Wire
from brambleusher.lab.checker.checker import Checker
from brambleusher.lab.checker.rules import Rules

__all__ = ["Breach", "Checker", "Execution", "Rules", "Wire"]
