"""What the rules ask for in figures, read from the settings that sidecars are given."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

MS, SECOND = 10**6, 10**9

SAFE, UNSAFE = "read_like", "non_idempotent"

# The rules by name, and what breaks each.
RULES = {
    "answer": "a request that was taken has no whole answer in time",
    "one-answer": "an answer that no request is owed, or a second one",
    "made-answer": "an answer served that no endpoint made for this request",
    "other-answer": "an answer served that was made for another request",
    "unusable": "a request that can't be used was served or passed on",
    "told-off": "a request that can be served was told that it can't be used",
    "refusal": "a refusal of what may not be repeated and may have run",
    "repeat": "what may not be repeated was sent again though it may have run",
    "once": "what may not be repeated was run twice",
    "attempts": "more attempts than are allowed",
    "copies": "two attempts out at once where that is not allowed",
    "drain": "a send too late after the sidecar was told that its node drains, is gone or was replaced",
    "unlisted": "a send to an address that no list named",
    "service": "a sidecar out of service says that it is ready or keeps clients, or one in service does not",
    "cold": "more work sent to a cold node than its budget",
    "framing": "a request with a length and a coding was passed on",
    "for-nobody": "a request passed on long after its client had left",
    "unasked": "a request passed on that no client made",
    "changed": "a request passed on with another method, target or body",
    "shared": "a request written to a connection that another one was out on",
    "dirty": "a request written to a connection with bytes or an end waiting on it",
    "bad-client": "a client that can't be served got neither an error nor a close in time",
    "versions": "discovery was asked for what follows a version that it never told",
    "crash": "a sidecar ended unasked",
    "left-over": "something was left at the end",
    "recovery": "service did not come back after the last fault",
    "replay": "the run's own capture, rerun, differs",
    "report": "the module was told another load report than the answer brought",
    "timers": "a timer that the module asked for never came",
}


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures; times in nanoseconds."""

    effects: Mapping[str, str]  # class to effect
    tenants: frozenset[str] = frozenset()
    max_attempts: int = 1
    second_copies: bool = True
    drain_ns: int = 500 * MS  # kept to the nanosecond
    must_ask_ns: int = 10 * SECOND
    must_ask_failed: int = 4  # times as long after a call that failed
    told_ns: int = 6 * SECOND  # what discovery has to tell counts as told
    told_reload_ns: int = 4 * SECOND  # and after SIGHUP
    slack_ns: int = 50 * MS  # on sockets, for answers and for how late a list may arrive
    cold_ns: int = 0
    fall_multiple: float = 4.0
    fall_ns: int = 3 * SECOND
    cold_told_part: float = 2 / 3  # of the work, from sidecars that were told of the start
    bad_ns: int = 3 * SECOND  # a bad client is owed an error or a close
    seen_ns: int = 0  # so long bytes may have lain at a process that has not seen them
    wake_ns: int = 500 * MS  # after a stop: by then what came due meanwhile is answered
    gone_ns: int = 300 * MS  # after its client's end could be seen nothing begins for a request
    term_ns: int = 700 * MS  # what comes later than this after SIGTERM must not be left unanswered
    yes_ns: int = 1 * SECOND  # after a call of operators it binds, answered or not
    leave_ns: int = 1400 * MS  # after the yes to out-of-service no connection rests any more
    rest_ns: int = 1200 * MS  # that rests for so long by then
    ready_ns: int = 1500 * MS  # after its start one that had a list is ready, whatever discovery does
    recover_ns: int = 3 * SECOND
    recover_part: float = 0.95
    recover_least: int = 8  # fewer requests than this tell nothing, and one lost of fewer than 20 neither
    max_body: int = 64 * 1024
    extra: Mapping[str, Any] = field(default_factory=dict)

    def cold_budget(self, capacity: float) -> float:
        """The work that a cold node may be sent in a window, in seconds of a standard core; slack apart."""
        return self.fall_multiple * capacity * self.fall_ns / SECOND

    @classmethod
    def of(cls, settings: Mapping[str, Any], **changed: Any) -> Rules:
        """The figures of a sidecar's settings; raises `ValueError` for an effect without a rule here."""
        safety, limits = settings.get("safety", {}), settings.get("limits", {})
        effects = {each["name"]: each["effect"] for each in settings["classes"]}
        if unknown := set(effects.values()) - {SAFE, UNSAFE}:
            raise ValueError(f"no rule for the effect {min(unknown)}")
        figures: dict[str, Any] = {
            "effects": effects,
            "tenants": frozenset(each["name"] for each in settings.get("projects") or ()),
            "max_attempts": int(limits.get("max_attempts", 1)),
            "second_copies": bool(limits.get("second_copies", False)),
            "drain_ns": int(safety["drain_grace_ns"]),
            "must_ask_ns": int(safety.get("must_ask_in_ns", 10 * SECOND)),
            "cold_ns": int(safety.get("cold_ns", 0)),
            "fall_multiple": float(safety.get("fall_multiple", 4.0)),
            "fall_ns": int(safety.get("fall_ns", 3 * SECOND)),
        }
        return cls(**{**figures, **changed})
