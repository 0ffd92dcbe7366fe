"""Extracts class, tenant, timeout and work hint from a client's HTTP request."""

from __future__ import annotations

import re

from brambleusher.decisions.requests import ClientRequest
from brambleusher.loadbalancing.api import Idempotency, Settings
from brambleusher.net.http import HttpError, Message

# Responses are sent this many nanoseconds, or a tenth of the remaining time if that is less, before the
# client's timeout.
RESPONSE_MARGIN_NS = 10_000_000
_NS_PER_MS = 1_000_000

_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}\Z")
_NUMBER = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?\Z")


class ClientRequestParser:
    """Parses client requests against the configured request classes and tenants."""

    def __init__(self, settings: Settings) -> None:
        self._methods = {
            request_class.name: "GET" if request_class.idempotency is Idempotency.SAFE else "POST"
            for request_class in settings.classes
        }
        self._tenants = {tenant.name for tenant in settings.tenants}

    @property
    def class_names(self) -> list[str]:
        """The names of the configured request classes, in the order of the settings."""
        return list(self._methods)

    def parse(self, message: Message, path: str) -> ClientRequest:
        """Parse a client request.

        Raises:
            HttpError: The path or the class is unknown (404), the class does not allow the method (405), or
                a header field is missing or malformed (400).
        """
        headers = message.headers
        request_class = self._parse_class(message, path)
        if not _REQUEST_ID.match(headers.get("request-id", "")):
            raise HttpError(400, "Request-Id is missing or malformed")
        timeout_ms = headers.get("request-timeout-ms", "")
        if not _NUMBER.match(timeout_ms) or int(timeout_ms) == 0:
            raise HttpError(400, "Request-Timeout-Ms is missing or not a number of milliseconds")
        tenant = headers.get("tenant")
        if self._tenants and tenant not in self._tenants:
            raise HttpError(400, "Tenant is missing or unknown")
        work_hint_us = headers.get("work-hint")
        if work_hint_us is not None and not _DECIMAL.match(work_hint_us):
            raise HttpError(400, "Work-Hint is not a number of microseconds")
        time_left_ns = int(timeout_ms) * _NS_PER_MS
        return ClientRequest(
            request_id=headers["request-id"],
            request_class=request_class,
            tenant=tenant,
            time_left_ns=time_left_ns - min(RESPONSE_MARGIN_NS, time_left_ns // 10),
            work_hint_ns=None if work_hint_us is None else int(float(work_hint_us) * 1000),
            is_retry=headers.get("client-retry") == "1",
            payload=message,
        )

    def _parse_class(self, message: Message, path: str) -> str:
        named_in_path = path[1:].split("/", 1)[0]
        if named_in_path not in self._methods:
            raise HttpError(404, "unknown path")
        request_class = message.headers.get("request-class", "")
        if request_class and request_class not in self._methods:
            raise HttpError(404, "unknown class")
        if request_class != named_in_path:
            raise HttpError(400, "Request-Class is missing or not the path's")
        if message.start[0] != self._methods[named_in_path]:
            raise HttpError(405, "not the method of this class")
        return request_class
