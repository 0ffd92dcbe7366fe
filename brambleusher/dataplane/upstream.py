"""Connections to instances, kept between requests, and one attempt over one of them, by h11."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import h11
from result import Err, Ok, Result

from brambleusher.dataplane.budgets import connections_of
from brambleusher.dataplane.failures import AnswerBroken, AttemptFailure, Lost, NotReached, Rejected
from brambleusher.dataplane.instances import HEARD_S, Instance, Instances
from brambleusher.loadbalancing.api import AttemptStatus
from brambleusher.loadbalancing.idle_timeout import Trust
from brambleusher.runtime.h11_messages import next_event, whole
from brambleusher.runtime.scheduler import Scheduler, TaskTimeoutError
from brambleusher.runtime.streams import Stream
from brambleusher.wire import instance_load
from brambleusher.wire.policy import Policy

CONNECT_S = 0.25  # two round trips between far regions; half the time left if that is less
SILENT_S = 0.6  # sent bytes or probes unacknowledged for so long: the instance's machine is gone
IDLE_DEFAULT_S = 3.0  # for a connection whose `Keep-Alive` says nothing
IDLE_MARGIN_S = 1.0  # before the time that `Keep-Alive` says a connection is not used any more
ANSWER_HEAD_MAX = 64 * 1024
STRAY_ANSWERS_MAX = 4
SECOND = 1e9  # of the nanoseconds that `Trust` counts in
IDLE_MOST_S = 60.0
TRUSTED_S = 0.5  # of rest that is always trusted
UNPROVEN_S = 0.05  # of rest after which a connection may have been forgotten by an instance
PROOF_MARGIN_S = 0.004  # beside a round trip: timers and small queues
PROOF_MOST_S = 0.1
TRUST_AIM_S = 0.5  # an aim, in whose multiples trust comes back
TRUST_WINDOW = 10.0  # aims for which resets are remembered
ATTEMPT_HEADER = b"x-attempt-id"

Headers = Sequence[tuple[bytes, bytes]]


def _nothing(*_: object) -> None:
    """Nobody wants to know."""


@dataclass(slots=True, eq=False)
class Connection:
    """One open connection to an instance."""

    stream: Stream
    h11: h11.Connection
    idle_since: float = 0.0
    idle_until: float = 0.0
    rested_s: float = 0.0  # before the attempt under way
    round_trip_s: float = 0.0  # that its handshake took

    @property
    def used(self) -> bool:
        """Whether it has carried a request before the one under way."""
        return self.idle_since > 0.0


class Answer:
    """An answer whose head has come; its body is read in pieces."""

    def __init__(
        self, upstream: Upstream, instance: Instance, connection: Connection, head: h11.Response
    ) -> None:
        self._upstream, self.instance, self._connection = upstream, instance, connection
        self.status = head.status_code
        self.headers: list[tuple[bytes, bytes]] = list(head.headers)
        self._over = self._first = False
        # What becomes of the attempt: the first bytes of the body, and how it ended (None: nobody's fault).
        self.on_first: Callable[[], object] = _nothing
        self.on_end: Callable[[bool | None], object] = _nothing

    def read(self, deadline: float) -> bytes:
        """The next bytes of the body, empty at its end; raises `AnswerBroken` and `TaskTimeoutError`."""
        try:
            event = next_event(self._connection.h11, self._connection.stream, deadline)
        except (OSError, h11.ProtocolError) as error:
            self.abandon()
            raise AnswerBroken from error
        except TaskTimeoutError:
            self.abandon()
            raise
        self.instance.heard_at = self._upstream.now()
        if isinstance(event, h11.Data):
            if not self._first:
                self._first = True
                self.on_first()
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._release()
            return b""
        self.abandon()
        raise AnswerBroken

    def abandon(self, well: bool | None = False) -> None:
        """Close the connection: the rest of the answer can't be had, or (`well` None) is not wanted."""
        if not self._over:
            self._over = True
            self._upstream.close(self.instance, self._connection)
            self.on_end(well)

    def _release(self) -> None:
        if not self._over:
            self._over = True
            self._upstream.keep(self.instance, self._connection, self.headers)
            self.on_end(self.status < 500)


class Upstream:
    """The pools of connections, one an instance."""

    def __init__(
        self,
        scheduler: Scheduler,
        instances: Instances,
        forgetful: bool = False,
        policy: Policy | None = None,
    ) -> None:
        """With `forgetful` instances may drop idle connections unseen, at any time."""
        self._scheduler, self._instances = scheduler, instances
        self._trust = Trust(IDLE_MOST_S * SECOND, TRUSTED_S * SECOND)
        self._forgetful = forgetful
        self._policy = policy or Policy()
        self.malformed_loads = 0

    def now(self) -> float:
        """The time of the scheduler."""
        return self._scheduler.now()

    # --- the pool --------------------------------------------------------------------------------

    def has_room(self, instance: Instance) -> bool:
        """Whether a connection is idle or may be made."""
        if instance.idle:
            return True
        service = self._instances.services.get(instance.service)
        limit = service.conn_limit if service is not None else 1
        return instance.connections < connections_of(limit, self._instances.gateways)

    def close(self, instance: Instance, connection: Connection) -> None:
        """End a connection."""
        connection.stream.close()
        instance.connections -= 1

    def close_idle(self, instance: Instance) -> None:
        """End the connections that rest: the instance leaves."""
        idle, instance.idle = instance.idle, []
        for connection in idle:
            self.close(instance, connection)

    def expire(self, instances: Sequence[Instance]) -> None:
        """End connections that rested too long."""
        now = self._scheduler.now()
        for instance in instances:
            for connection in [kept for kept in instance.idle if kept.idle_until <= now]:
                instance.idle.remove(connection)
                self.close(instance, connection)

    def keep(self, instance: Instance, connection: Connection, headers: Headers) -> None:
        """Put a connection back, if its answer allows another request."""
        state = connection.h11
        clean = state.our_state is h11.DONE and state.their_state is h11.DONE and not state.trailing_data[0]
        idle_s = _keep_alive_s(headers)
        if not clean or idle_s <= 0 or instance.standing.value != "ready":
            self.close(instance, connection)
            return
        state.start_next_cycle()
        connection.idle_since = self._scheduler.now()
        connection.idle_until = connection.idle_since + idle_s
        instance.idle.append(connection)

    def tick(self, seconds: float) -> None:
        """Time has passed: trust in idle connections comes back."""
        aims = seconds / TRUST_AIM_S
        self._trust.pass_time(aims, math.exp(-aims / TRUST_WINDOW))

    def _take(self, instance: Instance, once: bool) -> Connection | None:
        now = self._scheduler.now()
        trusted = self._trust.trust_ns / SECOND if self._policy.idle_trust else IDLE_MOST_S
        if once and self._forgetful and now - instance.heard_at > HEARD_S:
            return None
        while instance.idle:
            connection: Connection = instance.idle.pop()
            rested = now - connection.idle_since
            if connection.idle_until > now and rested <= trusted and connection.stream.quiet():
                connection.rested_s = rested
                return connection
            self.close(instance, connection)
        return None

    def _connect(self, instance: Instance, deadline: float) -> Result[Connection, NotReached]:
        now = self._scheduler.now()
        instance.connections += 1
        try:
            stream = Stream.connect(
                self._scheduler,
                instance.address,
                min(now + CONNECT_S, now + (deadline - now) / 2),
                prepare=lambda sock: self._scheduler.system.bound_silence(sock, SILENT_S),
            )
        except (OSError, TaskTimeoutError) as error:
            instance.connections -= 1
            instance.failed_to_connect(self._scheduler.now())
            timed_out = isinstance(error, TaskTimeoutError)
            if timed_out:
                self._instances.zone_rests.timed_out(instance.zone, instance.id, self._scheduler.now())
            return Err(NotReached(timed_out))
        except BaseException:
            instance.connections -= 1
            raise
        instance.connected()
        instance.heard_at = self._scheduler.now()
        self._instances.zone_rests.connected(instance.zone)
        protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_HEAD_MAX)
        return Ok(Connection(stream, protocol, round_trip_s=self._scheduler.now() - now))

    # --- one attempt -----------------------------------------------------------------------------

    def attempt(
        self,
        instance: Instance,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        attempt_id: bytes,
        deadline: float,
        once: bool,
    ) -> Result[Answer, AttemptFailure]:
        """Send a request and wait for the head of its answer; one that may run `once` takes no chances."""
        # The answer to a request without an id can be told from another's only where there is no other.
        request = h11.Request(method=method, target=target, headers=list(headers))
        connection = self._take(instance, once) if attempt_id else None
        rest = b""
        if connection is not None:
            rest = whole(connection.h11, request, body)
            if once and self._forgetful and connection.rested_s > UNPROVEN_S:
                proven = self._prove(instance, connection, rest[:-1], deadline)
                connection, rest = (connection, rest[-1:]) if proven else (None, b"")
        if connection is None:
            made = self._connect(instance, deadline)
            if isinstance(made, Err):
                return made
            connection = made.ok_value
            rest = whole(connection.h11, request, body)
        try:
            connection.stream.send(rest, deadline)
            head = self._head(connection, attempt_id, deadline)
        except (OSError, h11.ProtocolError):
            self.close(instance, connection)
            if connection.rested_s:
                self._trust.ended(AttemptStatus.RESET, int(connection.rested_s * SECOND))
            return Err(Lost())
        except TaskTimeoutError:
            self.close(instance, connection)
            return Err(Lost())
        except BaseException:
            self.close(instance, connection)
            raise
        if head is None:
            self.close(instance, connection)
            return Err(Lost())
        if connection.rested_s:
            self._trust.ended(AttemptStatus.OK, int(connection.rested_s * SECOND))
            connection.rested_s = 0.0
        self._note_load(instance, head.headers)
        answer = Answer(self, instance, connection, head)
        if head.status_code == 421 or any(name == b"x-not-executed" for name, _ in head.headers):
            return self._rejected(answer, deadline)
        return Ok(answer)

    def _prove(self, instance: Instance, connection: Connection, begin: bytes, deadline: float) -> bool:
        """Send all but the last byte of a request, and see whether the connection is still there.

        An instance that has forgotten a connection resets it when anything comes.  What is not whole can't
        have run, so that the request may go over another connection then.
        """
        until = self.now() + min(connection.round_trip_s * 1.5 + PROOF_MARGIN_S, PROOF_MOST_S)
        try:
            connection.stream.send(begin, deadline)
            self._scheduler.park(min(until, deadline), connection.stream.sock)
        except TaskTimeoutError:
            return True
        except OSError:
            self._forgotten(instance, connection)
            return False
        except BaseException:
            self.close(instance, connection)
            raise
        self._forgotten(instance, connection)
        return False

    def _forgotten(self, instance: Instance, connection: Connection) -> None:
        self.close(instance, connection)
        self._trust.ended(AttemptStatus.RESET, int(connection.rested_s * SECOND))

    def _note_load(self, instance: Instance, headers: Headers) -> None:
        for name, value in headers:
            if name == instance_load.HEADER:
                load = instance_load.read(value)
                if load is None:
                    self.malformed_loads += 1
                else:
                    self._instances.reported(instance, load)

    @staticmethod
    def _rejected(answer: Answer, deadline: float) -> Result[Answer, AttemptFailure]:
        try:
            while answer.read(deadline):
                pass
        except (AnswerBroken, TaskTimeoutError):
            pass
        return Err(Rejected(answer.status))

    def _head(self, connection: Connection, attempt_id: bytes, deadline: float) -> h11.Response | None:
        """The head of the answer to this very request; answers to others are read and dropped.

        Instances echo the id of a request.  One that doesn't can be believed only on a new connection: on
        a kept one a second answer to the request before would look the same.
        """
        for _ in range(STRAY_ANSWERS_MAX):
            head = self._next_head(connection, deadline)
            if head is None:
                return None
            echoed = dict(head.headers).get(ATTEMPT_HEADER)
            if echoed == attempt_id or (echoed is None and not connection.used):
                return head
            if not self._drop_answer(connection, deadline):
                return None
        return None

    @staticmethod
    def _next_head(connection: Connection, deadline: float) -> h11.Response | None:
        while True:
            event = next_event(connection.h11, connection.stream, deadline)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                return None

    @staticmethod
    def _drop_answer(connection: Connection, deadline: float) -> bool:
        """Read an answer that belongs to another request, and make ready for the one that is due."""
        while True:
            event = next_event(connection.h11, connection.stream, deadline)
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return False
        rest = connection.h11.trailing_data[0]
        connection.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_HEAD_MAX)
        whole(connection.h11, h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")]))
        if rest:
            connection.h11.receive_data(rest)
        return True


def _keep_alive_s(headers: Headers) -> float:
    """How long a connection may rest, with a margin; 0 where it is to be closed."""
    for name, value in headers:
        if name == b"connection" and b"close" in value.lower():
            return 0.0
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                if key.strip().lower() == b"timeout" and number.strip().isdigit():
                    return float(number) - IDLE_MARGIN_S
    return IDLE_DEFAULT_S
