"""Independent checker that records a run from the bytes on the virtual wire and reports broken rules.

The checker shares no code with the program: its own parsers read requests, responses, endpoint lists and load
reports. Only `rerun` calls the program, because it checks the program's own replay.
"""

from brambleusher.lab.checker.books import Breach, Execution, Wire
from brambleusher.lab.checker.checker import Checker
from brambleusher.lab.checker.rules import Rules

__all__ = ["Breach", "Checker", "Execution", "Rules", "Wire"]
