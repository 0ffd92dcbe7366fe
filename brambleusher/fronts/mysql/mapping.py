"""Maps statements to request class, tenant, deadline and expected work, with the reason for the choice."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from brambleusher.fronts.mysql.settings import MysqlSettings, UserRule
from brambleusher.fronts.mysql.statements import Hint, Statement, StatementKind
from brambleusher.loadbalancing import api

MAX_LOGGED_ASSIGNMENTS = 4096  # number of remembered assignments; evicted ones may be logged again


@dataclass(frozen=True, slots=True)
class Assignment:
    """Request parameters assigned to a statement."""

    request_class: str
    tenant: str | None
    deadline_ms: int  # always greater than 0
    work_us: int | None
    reason: str


class RequestMapper:
    """Assigns request parameters to statements according to the operator file."""

    def __init__(self, settings: MysqlSettings, platform: api.Settings) -> None:
        self._settings = settings
        self._classes = {cls.name: cls for cls in platform.classes}
        self._tenants = {tenant.name for tenant in platform.tenants}
        self._by_digest = {rule.digest: rule for rule in settings.statements}
        self._logged: OrderedDict[tuple[str, str, str], None] = OrderedDict()

    def assign(self, statement: Statement, user: str, transaction: bool = False) -> Assignment:
        """Assign request parameters to a statement.

        `transaction` is true if the statement begins a transaction, which counts as one request.  Only a
        plain read may have a class whose requests are retried; all other statements get `strict_class`.
        """
        settings = self._settings
        user_rule = settings.users.get(user) or UserRule(user)
        hint = statement.hint if settings.hints and statement.hint is not None else Hint()
        statement_rule = self._by_digest.get(statement.digest)
        selected: tuple[str | None, str] = None, ""
        if (
            hint.request_class in self._classes
            and self._idempotency(hint.request_class) is not api.Idempotency.KEYED
        ):
            selected = hint.request_class, "hint"
        elif statement_rule is not None:
            selected = statement_rule.request_class, "digest"
        elif statement.kind is StatementKind.UNKNOWN:
            selected = settings.strict_class, f"unknown: {statement.unknown_reason}"
        elif user_rule.request_class is not None:
            selected = user_rule.request_class, "user"
        elif settings.default_class is not None:
            selected = settings.default_class, "default"
        name, reason = selected
        if name is None:
            name, reason = settings.strict_class, "no other rule applies"
        elif self._idempotency(name) is not api.Idempotency.UNSAFE and (
            transaction or not statement.plain_read
        ):
            kind = "a transaction" if transaction else "not a plain read"
            name, reason = settings.strict_class, f"{reason} selects {name}, but the statement is {kind}"
        deadline_ms = (
            hint.deadline_ms
            or (statement_rule.deadline_ms if statement_rule is not None else None)
            or user_rule.deadline_ms
            or max(1, self._classes[name].deadline_ns // 1_000_000)
        )
        tenant = hint.tenant if hint.tenant in self._tenants else user_rule.tenant or settings.tenant
        return Assignment(name, tenant, deadline_ms, hint.work_us, reason)

    def is_new_assignment(self, statement: Statement, user: str, assignment: Assignment) -> bool:
        """Return whether this assignment has not been logged yet for the digest and user, and remember it."""
        key = (statement.digest[:256], user, assignment.reason[:256])
        if key in self._logged:
            return False
        self._logged[key] = None
        if len(self._logged) > MAX_LOGGED_ASSIGNMENTS:
            self._logged.popitem(last=False)
        return True

    def grace_ns(self, request_class: str) -> int:
        """Return how long a session pinned by a request of this class may stay on a draining node."""
        ms = self._settings.grace_ms.get(request_class)
        return self._classes[request_class].deadline_ns if ms is None else ms * 1_000_000

    def _idempotency(self, name: str | None) -> api.Idempotency:
        return self._classes[name or ""].idempotency
