"""The checker's rules and their limits, read from the settings that sidecars are given."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

MS, SECOND = 10**6, 10**9

SAFE, UNSAFE = "read_like", "non_idempotent"

# The name of each rule, with a description of what breaks the rule.
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
    """The limits that the checker applies; times are in nanoseconds."""

    effects: Mapping[str, str]  # effect of each request class, by the name of the class
    tenants: frozenset[str] = frozenset()
    max_attempts: int = 1
    second_copies: bool = True
    drain_ns: int = 500 * MS  # checked without slack, to the nanosecond
    must_ask_ns: int = 10 * SECOND
    failed_request_factor: int = 4  # factor on `must_ask_ns` after a failed request to discovery
    notice_ns: int = 6 * SECOND  # time after which a sidecar must know a change that discovery can deliver
    reload_notice_ns: int = 4 * SECOND  # time after a SIGHUP by which a sidecar must know the same change
    slack_ns: int = 50 * MS  # tolerance for socket operations, answers and late lists
    cold_ns: int = 0
    fall_multiple: float = 4.0
    fall_ns: int = 3 * SECOND
    # Least share of a cold node's work from sidecars that knew of its start, for a breach to be reported.
    min_informed_fraction: float = 2 / 3
    bad_client_ns: int = 3 * SECOND  # time within which a bad client must get an error or a close
    unnoticed_bytes_ns: int = 0  # time that readable bytes or a readable close may stay unnoticed
    resume_ns: int = 500 * MS  # time after a stop by which requests that fell due during it must be answered
    abandon_ns: int = 300 * MS  # time after a client's visible close from which no attempt may begin
    # A request that arrives later than this after a SIGTERM must be answered, even if the sidecar is killed.
    term_ns: int = 700 * MS
    call_binds_ns: int = 1 * SECOND  # time after which operators' calls bind even without an acknowledgement
    close_idle_ns: int = 1400 * MS  # time after going out of service by which idle connections must be closed
    idle_ns: int = 1200 * MS  # time without traffic after which a connection counts as idle
    # Time after a start or a return to service by which a sidecar that has a list must report itself ready,
    # whatever discovery does.
    ready_ns: int = 1500 * MS
    recover_ns: int = 3 * SECOND
    recover_fraction: float = 0.95
    # Least number of requests for a verdict; a single lost request out of fewer than 20 is no breach either.
    recover_min_requests: int = 8
    max_body: int = 64 * 1024
    extra: Mapping[str, Any] = field(default_factory=dict)

    def warm_up_budget(self, capacity: float) -> float:
        """Return the work allowed to a cold node per window, without slack, in seconds of a standard core."""
        return self.fall_multiple * capacity * self.fall_ns / SECOND

    @classmethod
    def from_settings(cls, settings: Mapping[str, Any], **changed: Any) -> Rules:
        """Read the limits from a sidecar's settings; raises `ValueError` for an effect without a rule.

        Args:
            settings: The settings of a sidecar.
            **changed: Limits that replace those from the settings.
        """
        safety, limits = settings.get("safety", {}), settings.get("limits", {})
        effects = {each["name"]: each["effect"] for each in settings["classes"]}
        if unknown := set(effects.values()) - {SAFE, UNSAFE}:
            raise ValueError(f"the checker has no rule for the effect {min(unknown)}")
        values: dict[str, Any] = {
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
        return cls(**{**values, **changed})
