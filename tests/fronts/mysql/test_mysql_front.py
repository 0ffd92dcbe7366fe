"""Tests of the MySQL front end over loopback: logins, pins, pools, drains, kills, faults, bad input."""

from __future__ import annotations

import logging
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pymysql
import pytest
from pymysql.constants import CLIENT

from brambleusher.fronts.mysql.auth import ClientLogin, LoginStep, native_hash, native_response
from brambleusher.fronts.mysql.constants import NATIVE, Capability, Command, Errno, SessionChange, Status
from brambleusher.fronts.mysql.messages import (
    ChangeUser,
    Eof,
    Err,
    Login,
    Ok,
    Prepared,
    SslRequest,
    parse_auth_switch,
    parse_session_changes,
)
from brambleusher.fronts.mysql.packets import PacketReader, frame
from brambleusher.fronts.mysql.session import Session
from brambleusher.lab.mysql.engine import ColumnInfo, Table
from brambleusher.lab.mysql.server import CAPABILITIES, Fault, FaultPoint
from tests.fronts.mysql.mysql_rig import MysqlRig, Servers
from tests.rig import WAIT, Discovery

Make = Callable[..., tuple[MysqlRig, Servers]]
ROW = "select * from accounts where name = 'n1'"
OLD_SERVER = CAPABILITIES & ~int(Capability.DEPRECATE_EOF | Capability.SESSION_TRACK)
NEW = int(
    Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION | Capability.PLUGIN_AUTH
    | Capability.CONNECT_WITH_DB | Capability.DEPRECATE_EOF | Capability.MULTI_RESULTS
)  # fmt: skip


class Rigs:
    """Test rigs by their options; tests that do not damage a rig share it."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._shared: dict[str, tuple[MysqlRig, Servers]] = {}
        self._exclusive: list[tuple[MysqlRig, Servers]] = []

    def make(
        self, count: int = 2, more: str = "", once: bool = False, shared_key: str = "", **settings: Any
    ) -> tuple[MysqlRig, Servers]:
        key = f"{count} {more} {shared_key} {settings}"
        if once or key not in self._shared:
            servers = Servers(count, **settings)
            made = MysqlRig(self._folder, servers, more), servers
            if once:
                self._exclusive.append(made)
                return made
            self._shared[key] = made
        rig, servers = self._shared[key]
        servers.do(servers.clear)
        rig.forget_counts()
        return rig, servers

    def after_test(self) -> None:
        self._end(self._exclusive)
        self._exclusive = []

    def end(self) -> None:
        self._end(self._shared.values())

    @staticmethod
    def _end(made: Iterable[tuple[MysqlRig, Servers]]) -> None:
        for rig, _ in made:
            rig.sidecar.begin_graceful_shutdown()  # all shutdowns run in parallel, since each takes a while
        for rig, servers in made:
            rig.end()
            servers.end()


@pytest.fixture(scope="module")
def rigs(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Rigs]:
    rigs = Rigs(tmp_path_factory.mktemp("mysql"))
    yield rigs
    rigs.end()


@pytest.fixture
def make(rigs: Rigs) -> Iterator[Make]:
    yield rigs.make
    rigs.after_test()


def connect(rig: MysqlRig, **how: Any) -> Any:
    given: dict[str, Any] = {"user": "web", "password": "front", "database": "shop", "autocommit": True}
    host, port = rig.address
    return pymysql.connect(host=host, port=port, read_timeout=WAIT, write_timeout=WAIT, **{**given, **how})


def ask(conn: Any, text: str, *values: Any) -> Any:
    with conn.cursor() as cursor:
        cursor.execute(text, values or None)
        return cursor.fetchall()


def error_number(conn: Any, text: str) -> int:
    with pytest.raises(pymysql.err.Error) as caught:
        ask(conn, text)
    return int(caught.value.args[0])


def retry_until_accepted(conn: Any, text: str) -> Any:
    """Repeat a statement until it is accepted; the load balancer avoids a full node for a while."""
    end = time.monotonic() + WAIT
    while True:
        try:
            return ask(conn, text)
        except pymysql.err.Error as error:
            assert error.args[0] == Errno.SERVER_ISNT_AVAILABLE
            assert time.monotonic() < end


def fault_on(command: int, text: str, fault: Fault, times: int = 1) -> Callable[[FaultPoint], Fault | None]:
    """Return a fault injector for the first `times` commands of a type whose text starts with `text`."""
    left = [times]

    def inject_fault(moment: FaultPoint) -> Fault | None:
        if moment.command == command and moment.text.lower().startswith(text) and left[0]:
            left[0] -= 1
            return fault
        return None

    return inject_fault


def inject_everywhere(servers: Servers, inject_fault: Callable[[FaultPoint], Fault | None]) -> None:
    servers.do(
        lambda: servers.fault_injectors.__setitem__(slice(None), [inject_fault] * len(servers.servers))
    )


class Raw:
    """A client that sends raw protocol messages."""

    def __init__(self, rig: MysqlRig, caps: int = NEW, user: str = "web", password: bytes = b"front") -> None:
        self.sock = socket.create_connection(rig.address, WAIT)
        self.caps = caps
        login = ClientLogin(user, password, caps, 45, database="shop", ask_key=True)
        while login.step() is not LoginStep.DONE:
            if login.out:
                self.sock.sendall(login.out)
                login.out = b""
            data = self.sock.recv(65536)
            assert data
            login.feed(data)
        assert login.greeting is not None
        self.thread = login.greeting.thread
        self.reader = PacketReader(1 << 26, seq=1)

    def send(self, body: bytes, seq: int = 0) -> None:
        self.reader.set_sequence(1)
        self.sock.sendall(frame(body, seq))

    def take(self) -> bytes:
        """Receive the next message."""
        while (message := self.reader.take()) is None:
            data = self.sock.recv(65536)
            assert data, "the connection ended"
            self.reader.feed(data)
        return message

    def take_result(self) -> list[bytes]:
        """Receive the messages of a result up to its end."""
        out = [self.take()]
        while out[0][:1] not in (b"\0", b"\xff") and (len(out) == 1 or out[-1][:1] not in (b"\xfe", b"\xff")):
            out.append(self.take())
        return out

    def error(self) -> Err:
        message = self.take()
        assert message[:1] == b"\xff", message
        return Err.parse(message)

    def close(self) -> None:
        self.sock.close()


# --- logins -------------------------------------------------------------------------------------


def test_logins_good_and_bad(make: Make) -> None:
    rig, _ = make()
    assert ask(connect(rig), "select user()") == (("registry@localhost",),)
    assert ask(connect(rig, user="sha", password="front-sha"), "select user()") == (("sha@localhost",),)
    for user, password in (("web", "wrong"), ("who", "front")):
        with pytest.raises(pymysql.err.OperationalError) as caught:
            connect(rig, user=user, password=password)
        assert caught.value.args[0] == Errno.ACCESS_DENIED
    client = connect(rig)
    client.ping(reconnect=False)
    assert ask(client, "select connection_id()") == ((client.thread_id(),),)


def test_change_user_reset_and_init_db(make: Make) -> None:
    rig, _ = make()
    client = Raw(rig)
    for body, first in (
        (b"\x02shop", 0), (b"\x02nowhere", 0xFF), (b"\x1f", 0), (b"\x0e", 0), (b"\x1b\0\0", 0xFE),
        (b"\x1b\1\0", 0xFE), (b"\x09", 0x55),
    ):  # fmt: skip
        client.send(body)
        assert client.take()[0] == first, body
    client.send(b"\x04accounts\0")
    assert [message[:4] for message in (client.take(), client.take())] == [b"\3def"] * 2
    assert client.take()[0] == 0xFE
    answer = native_response(b"front", bytes(20))
    change = ChangeUser("web", answer, "shop", 45, NATIVE)
    client.send(change.encode(NEW))
    switch = client.take()
    assert switch.startswith(b"\xfe" + NATIVE.encode())
    client.sock.sendall(frame(native_response(b"front", parse_auth_switch(switch)[1]), 2))
    client.reader.set_sequence(3)
    assert client.take()[0] == 0
    client.send(b"\x03" + ROW.encode())
    assert len(client.take_result()) == 5
    client.send(ChangeUser("web", answer, "shop", 45, NATIVE).encode(NEW))
    client.take()
    client.sock.sendall(frame(native_response(b"wrong", bytes(20)), 2))
    client.reader.set_sequence(3)
    assert Err.parse(client.take()).errno == Errno.ACCESS_DENIED
    client.close()


def test_an_unknown_schema_is_the_clients_own_fault(make: Make) -> None:
    rig, _ = make()
    with pytest.raises(pymysql.err.Error) as caught:
        connect(rig, database="nowhere")  # the driver sends its first statement at once, which fails
    assert caught.value.args[0] == 1049
    for at in range(4):  # the failure does not count against a node
        assert ask(connect(rig), f"select {at} from accounts where name = 'n1'") == ((at,),)


def test_no_secret_and_no_literal_gets_into_the_log(make: Make, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.DEBUG)
    rig, servers = make(once=True)
    logging.getLogger("brambleusher").propagate = True
    client = connect(rig)
    ask(client, "select 'literal-1' from accounts")
    error_number(client, "call p('literal-2')")
    error_number(client, "set password = 'literal-3'")
    with pytest.raises(pymysql.err.Error):
        connect(rig, password="literal-4")
    inject_everywhere(servers, fault_on(Command.QUERY, "select 5", Fault("nonsense")))
    error_number(client, "select 5, 'literal-5'")
    text = caplog.text + str([record.__dict__.get("fields") for record in caplog.records])
    assert "statement assigned" in text
    assert "login refused" in text
    for secret in (
        "literal-",
        "node-secret",
        native_hash(b"front").hex(),
        native_hash(b"front").hex().upper(),
    ):
        assert secret not in text


# --- pinning ------------------------------------------------------------------------------------


def test_reads_move_between_nodes_and_what_is_tied_stays(make: Make) -> None:
    rig, _ = make()
    client = connect(rig)
    for at in range(12):
        ask(client, f"select {at} + 0 from accounts where name = 'n1'")
    node_indexes = {rig.seen(f"select {at} + 0 from accounts where name = 'n1'")[0][0] for at in range(12)}
    assert node_indexes == {0, 1}
    ask(client, "set @a = 5")
    for at in range(6):
        assert ask(client, f"select @a, {at}") == ((5, at),)
    assert len({rig.seen(f"select @a, {at}")[0] for at in range(6)}) == 1
    reset_connection(client)
    assert ask(client, "select @a") == ((None,),)


def reset_connection(client: Any) -> None:
    client._execute_command(Command.RESET_CONNECTION, b"")
    client._read_ok_packet()


def test_settings_schema_and_ids_go_along(make: Make) -> None:
    rig, servers = make()
    client, other = connect(rig), connect(rig)
    for server in servers.servers:
        servers.do(partial(server.database.tables.update, {("shop", "t"): Table("t", _columns())}))
    ask(client, "set sql_mode = 'ONLY_X', time_zone = '+02:00'")
    seen = set()
    for at in range(10):
        ask(other, "select 1 from accounts")
        assert ask(client, f"select @@sql_mode, @@time_zone, {at}") == (("ONLY_X", "+02:00", at),)
        seen.add(rig.seen(f"select @@sql_mode, @@time_zone, {at}")[0])
        assert ask(other, "select @@sql_mode")[0][0].startswith("ONLY_FULL")
    assert len({place for place, _ in seen}) == 2
    for at in range(6):
        ask(client, f"insert into t (v) values ('{at}')")
        ask(other, "insert into t (v) values ('other')")
        with client.cursor() as cursor:
            cursor.execute("select last_insert_id()")
            (mine,) = cursor.fetchone()
        found = {
            key
            for server in servers.servers
            for key, row in servers.do(partial(server.database.snapshot, "shop", "t")).items()
            if row[1] == str(at)
        }
        assert found == {mine}
    assert rig.count("mysql_ids_carried") > 0


def _columns() -> list[ColumnInfo]:
    return [ColumnInfo("id", 3, True, "t"), ColumnInfo("v", 253, False, "t")]


def test_warnings_are_asked_for_where_they_were_made(make: Make) -> None:
    rig, _ = make()
    client, other = connect(rig), connect(rig)
    ask(client, "insert into transfers values ('x', 'no number')")
    ask(other, "select 1 from accounts")
    assert "Incorrect value" in ask(client, "show warnings")[0][2]
    ask(client, "select 1 from accounts")
    for _ in range(3):
        ask(other, "select 1 from accounts")
        ask(other, "select 2 from accounts")
    assert error_number(client, "select row_count()") in (Errno.NOT_SUPPORTED_YET,)


def test_prepared_statements_are_prepared_anew(make: Make) -> None:
    import mysql.connector

    rig, _ = make()
    host, port = rig.address
    client = mysql.connector.connect(
        host=host, port=port, user="web", password="front", database="shop", use_pure=True, autocommit=True
    )
    cursor = client.cursor(prepared=True)
    for at in range(8):
        cursor.execute("select name, money + ? from accounts where name = ?", (at, "n1"))
        assert cursor.fetchall() == [("n1", 1000 + at)]
    assert rig.count("mysql_prepared_anew") >= 1
    client.close()


def test_many_sessions_share_few_connections(make: Make) -> None:
    rig, servers = make(2, more="  sessions: 120\n  connections: 3\n  pool_wait_ms: 15000\n")
    clients = [Raw(rig) for _ in range(100)]
    for _ in range(2):
        for client in clients:
            client.send(b"\x03" + ROW.encode())
        for client in clients:
            assert len(client.take_result()) == 5
    assert max(server.most_open for server in servers.servers) <= 3
    assert rig.count("mysql_waits") > 0


def test_max_connections_is_learned(make: Make) -> None:
    rig, servers = make(1, once=True, max_connections=2)
    clients = [connect(rig) for _ in range(4)]
    for client in clients[:2]:
        ask(client, "set @a = 1")
    assert error_number(clients[2], ROW) == Errno.SERVER_ISNT_AVAILABLE
    assert rig.count("mysql_connections_refused") == 1
    reset_connection(clients[0])
    assert retry_until_accepted(clients[2], ROW) == (("n1", 1000),)
    assert servers.servers[0].rejected_connections == 1
    for client in clients:
        client.close()


# --- guarantees ---------------------------------------------------------------------------------


def transfer(client: Any, name: str) -> None:
    client.begin()
    ask(client, f"insert into transfers values ('{name}', 10)")
    ask(client, "update accounts set money = money - 10 where name = 'n1'")
    ask(client, "update accounts set money = money + 10 where name = 'n2'")
    client.commit()


def count_committed(servers: Servers, name: str) -> int:
    return sum(
        name in servers.do(partial(server.database.snapshot, "shop", "transfers"))
        for server in servers.servers
    )


def test_a_commit_whose_answer_is_lost_is_one_error_and_is_not_repeated(make: Make) -> None:
    rig, servers = make()
    client = connect(rig)
    transfer(client, "a")
    inject_everywhere(servers, fault_on(Command.QUERY, "commit", Fault("after")))
    with pytest.raises(pymysql.err.OperationalError) as caught:
        transfer(client, "b")
    assert caught.value.args[0] == Errno.ERROR_DURING_COMMIT
    assert "unknown" in caught.value.args[1]
    assert [count_committed(servers, name) for name in "ab"] == [1, 1]
    assert len(rig.seen("COMMIT")) == 2
    assert ask(connect(rig), ROW)[0][1] in (980, 990, 1000)


@pytest.mark.parametrize("how", ["before", "after"])
def test_what_breaks_within_a_transaction_is_rolled_back_and_never_sent_again(make: Make, how: str) -> None:
    rig, servers = make()
    client = connect(rig)
    inject_everywhere(servers, fault_on(Command.QUERY, "update accounts set money = money +", Fault(how)))
    with pytest.raises(pymysql.err.OperationalError) as caught:
        transfer(client, "a")
    assert caught.value.args[0] == Errno.NET_READ
    assert count_committed(servers, "a") == 0
    assert len(rig.seen("update accounts set money = money + 10 where name = 'n2'")) == 1
    with pytest.raises(pymysql.err.Error):  # the session has ended, so nothing runs outside the transaction
        ask(client, "select 1")


@pytest.mark.parametrize(
    "fault", [Fault("after"), Fault("amid", bytes=5), Fault("nonsense"), Fault("number")]
)
def test_a_write_outside_a_transaction_is_not_repeated(make: Make, fault: Fault) -> None:
    rig, servers = make()
    client = connect(rig)
    text = "update accounts set money = money - 1 where name = 'n3'"
    inject_everywhere(servers, fault_on(Command.QUERY, "update", fault))
    assert error_number(client, text) in (
        Errno.ERROR_DURING_COMMIT,
        Errno.MALFORMED_PACKET,
        Errno.NET_PACKETS_OUT_OF_ORDER,
    )
    assert len(rig.seen(text)) == 1
    assert ask(client, "select 1 from accounts where name = 'n1'") == ((1,),)  # the session continues


@pytest.mark.parametrize(
    "text",
    ["begin /* again */", "unlock tables", "create table x (a int)", "set autocommit = 1"],
)
def test_what_commits_by_itself_in_a_transaction_is_unknown_when_its_answer_is_lost(
    make: Make, text: str
) -> None:
    rig, servers = make(2)
    inject_everywhere(servers, fault_on(Command.QUERY, text, Fault("after")))
    client = connect(rig)
    client.begin()
    ask(client, "update accounts set money = money - 1 where name = 'n1'")
    assert error_number(client, text) == Errno.ERROR_DURING_COMMIT
    assert len(rig.seen(text)) == 1


@pytest.mark.parametrize("text", ["select transfer(1, 2)", "set @a = transfer(1)", "select 1 for update"])
def test_what_may_call_a_stored_function_is_unknown_when_its_answer_is_lost(make: Make, text: str) -> None:
    rig, servers = make(2)
    inject_everywhere(servers, fault_on(Command.QUERY, text, Fault("before")))
    assert error_number(connect(rig), text) == Errno.ERROR_DURING_COMMIT
    assert len(rig.seen(text)) == 1


def test_a_plain_read_goes_to_another_node_until_a_byte_has_come(make: Make) -> None:
    rig, servers = make()
    client = connect(rig)
    for how in ("before", "after"):
        left = [1]  # one fault in total on both servers

        def once(moment: FaultPoint, how: str = how, left: list[int] = left) -> Fault | None:
            if moment.command == Command.QUERY and moment.text == ROW and left[0]:
                left[0] -= 1
                return Fault(how)
            return None

        inject_everywhere(servers, once)
        before = len(rig.seen(ROW))
        assert ask(client, ROW) == (("n1", 1000),)
        assert len(rig.seen(ROW)) == before + 2
    big = "select * from generated where n = 50000 and width = 100"
    inject_everywhere(
        servers, fault_on(Command.QUERY, "select * from generated", Fault("amid", bytes=200_000), times=9)
    )
    with pytest.raises(pymysql.err.Error):
        ask(client, big)
    assert len(rig.seen(big)) == 1


def test_a_result_that_breaks_ends_in_exactly_one_error(make: Make) -> None:
    rig, servers = make()
    for size in (30, 5_000, 150_000):
        inject_everywhere(
            servers, fault_on(Command.QUERY, "select * from generated", Fault("amid", bytes=size))
        )
        client = Raw(rig)
        client.send(b"\x03select * from generated where n = 3000 and width = 90")
        messages = client.take_result()
        assert Err.parse(messages[-1]).errno == Errno.NET_READ
        assert sum(message[:1] == b"\xff" for message in messages) == 1
        inject_everywhere(servers, lambda moment: None)
        client.send(b"\x03select 1 from accounts where name = 'n1'")  # an unpinned session continues
        assert client.take_result()[0] == b"\x01"
        client.close()
    inject_everywhere(
        servers, fault_on(Command.QUERY, "select * from generated", Fault("amid", bytes=200_000))
    )
    client = Raw(rig)  # a fault within a packet of 400 KB can only be signalled by closing the connection
    client.send(b"\x03select * from generated where n = 1 and width = 400000")
    got = 0
    while data := client.sock.recv(65536):
        got += len(data)
    assert 100_000 < got < 400_000


def test_a_deadline_stops_the_statement_at_the_node(make: Make) -> None:
    rig, servers = make(1)
    client = connect(rig)
    text = "/* brambleusher: deadline_ms=150 */ select sleep(30)"
    # The statement is not a plain read, so it may have had effects.
    assert error_number(client, text) == Errno.ERROR_DURING_COMMIT
    rig.until(lambda: rig.count("mysql_kills") >= 1)
    until_idle(servers)
    ask(client, "/* brambleusher: deadline_ms=200 */ begin")
    assert error_number(client, "select sleep(60)") in (Errno.QUERY_TIMEOUT, Errno.NET_READ)


def until_idle(servers: Servers) -> None:
    end = time.monotonic() + WAIT
    while servers.do(lambda: any(p.running for s in servers.servers for p in s.clients.values())):
        assert time.monotonic() < end
        time.sleep(0.005)


def test_a_client_that_leaves_and_one_that_is_killed(make: Make) -> None:
    rig, servers = make(1)
    for text in ("select sleep(60)", "select sleep(61) from accounts"):
        client = Raw(rig)
        client.send(b"\x03" + text.encode())
        while not rig.seen(text):
            pass
        client.close()
        until_idle(servers)
    client, killer = Raw(rig), connect(rig)
    client.send(b"\x03select sleep(62)")
    while not rig.seen("select sleep(62)"):
        pass
    ask(killer, f"kill query {client.thread}")
    assert client.error().errno == Errno.QUERY_INTERRUPTED
    client.send(b"\x03select 7")
    assert client.take_result()[0] == b"\x01"
    assert error_number(killer, "kill 999999") == Errno.NO_SUCH_THREAD
    stranger = connect(rig, user="sha", password="front-sha")
    assert error_number(stranger, f"kill {client.thread}") == Errno.KILL_DENIED
    ask(killer, f"kill {client.thread}")
    client.sock.settimeout(WAIT)
    while client.sock.recv(65536):
        pass


def test_a_drain_lets_the_untied_go_and_gives_the_tied_their_grace(make: Make) -> None:
    rig, servers = make(2, "  grace_ms: {move: 200, look: 200}\n  drain_spread_ms: 100\n", once=True)
    free, pinned, busy = connect(rig), connect(rig), connect(rig)
    for client in (pinned, busy):
        client.begin()
        ask(client, "select connection_id(), 1")
    node_names = [server.name for server in servers.servers]
    rig.discovery.push(
        Discovery.text(
            [rig.entry(node_names[0], "Terminating"), rig.entry(node_names[1], "Terminating")], version=9
        )
    )
    rig.until(lambda: rig.count("lists_taken") >= 2)
    rig.until(lambda: rig.count("mysql_drained") >= 2)
    assert error_number(pinned, "select 1") == Errno.SERVER_SHUTDOWN
    with pytest.raises(pymysql.err.Error):  # the session has ended after its one error
        ask(pinned, "select 1")
    assert error_number(busy, "commit") == Errno.SERVER_SHUTDOWN
    assert error_number(free, ROW) == Errno.SERVER_ISNT_AVAILABLE
    rig.discovery.push(Discovery.text([rig.entry(node_names[1])], version=10))
    rig.until(lambda: rig.count("lists_taken") >= 3)
    assert retry_until_accepted(free, ROW) == (("n1", 1000),)
    assert servers.do(lambda: len(servers.servers[0].clients)) == 0


def test_nothing_new_starts_on_a_draining_node_whatever_the_grace(make: Make) -> None:
    rig, servers = make(1, "  grace_ms: {move: 15000, look: 15000}\n  drain_spread_ms: 0\n", once=True)
    flag = CLIENT.MULTI_STATEMENTS
    kept, opened, chained, again, several = (connect(rig, client_flag=flag) for _ in range(5))
    ask(kept, "set @a = 1")
    for client in (opened, chained, again, several):
        client.begin()
        ask(client, "select connection_id(), 1")
    soft = connect(rig)
    ask(soft, "select sql_calc_found_rows 1")
    waiting = Raw(rig)
    inject_everywhere(servers, fault_on(Command.QUERY, "set @late", Fault("late", seconds=0.3)))
    waiting.send(b"\x03set @late = 1")
    while not rig.seen("set @late = 1"):
        pass
    entry = rig.entry(servers.servers[0].name, "Terminating")
    rig.discovery.push(Discovery.text([entry], version=9))
    rig.until(lambda: rig.count("lists_taken") >= 2)
    # The session `soft` drops its pins and may move, but there is no other node.
    assert error_number(soft, "select 1") == Errno.SERVER_ISNT_AVAILABLE
    # `kept` and `waiting` have no open request, so they end within the drain time despite their grace period.
    rig.until(lambda: rig.count("mysql_drained") >= 2)
    assert error_number(kept, "select 1") == Errno.SERVER_SHUTDOWN
    assert waiting.take()[:1] == b"\0"
    waiting.send(b"\x03select 1")
    assert waiting.error().errno == Errno.SERVER_SHUTDOWN
    node = rig.sidecar.mysql.nodes._nodes[entry["id"]]  # type: ignore[union-attr]
    rig.until(lambda: rig.sidecar.scheduler.now() > node.drain_started_at + 0.5)
    assert error_number(again, "begin") == Errno.SERVER_SHUTDOWN
    assert error_number(several, "commit; begin; select 1") == Errno.SERVER_SHUTDOWN
    ask(chained, "commit and chain")
    assert error_number(chained, "select 1") == Errno.SERVER_SHUTDOWN
    ask(opened, "update accounts set money = 7 where name = 'n2'")  # belongs to a request that is still open
    opened.commit()
    assert not rig.seen("commit; begin; select 1")


def test_a_grace_does_not_begin_anew_with_each_list(make: Make) -> None:
    rig, servers = make(1, "  grace_ms: {move: 300}\n  drain_spread_ms: 0\n", once=True)
    pinned = connect(rig)
    pinned.begin()
    ask(pinned, "select connection_id(), 1")
    entry, version, end = rig.entry(servers.servers[0].name, "Terminating"), 8, time.monotonic() + WAIT
    while not rig.count("mysql_drained"):
        assert time.monotonic() < end
        version += 1
        rig.discovery.push(Discovery.text([entry], version=version))
        rig.until(lambda: rig.count("lists_taken") >= version - 7 or bool(rig.count("mysql_drained")))  # noqa: B023
    assert error_number(pinned, "commit") == Errno.SERVER_SHUTDOWN


def test_an_end_waits_for_the_tied_within_their_grace(make: Make) -> None:
    rig, _ = make(1, "  grace_ms: {move: 300}\n  drain_spread_ms: 0\n", once=True)
    free, pinned = Raw(rig), connect(rig)
    pinned.begin()
    rig.sidecar.begin_graceful_shutdown()
    rig.until(lambda: rig.sidecar.lifecycle.is_drained)
    pinned.commit()
    message = free.sock.recv(65536)
    assert Err.parse(message[4:]).errno == Errno.SERVER_SHUTDOWN


# --- faulty nodes -------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "fault", [Fault("error", errno=1129), Fault("nonsense"), Fault("before"), Fault("error", errno=1040)]
)
def test_a_node_that_greets_badly_is_passed_over(make: Make, fault: Fault) -> None:
    rig, servers = make()
    servers.do(
        lambda: servers.fault_injectors.__setitem__(0, lambda moment: fault if moment.command < 0 else None)
    )
    client = connect(rig)
    for at in range(4):
        assert ask(client, f"select {at} from accounts where name = 'n1'") == ((at,),)


def test_no_node_at_all_is_a_refusal(make: Make) -> None:
    rig, servers = make(once=True)
    inject_everywhere(servers, lambda moment: Fault("before") if moment.command < 0 else None)
    with pytest.raises(pymysql.err.Error) as caught:
        ask(connect(rig), ROW)
    assert caught.value.args[0] == Errno.SERVER_ISNT_AVAILABLE


# --- bad input ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("name", "data", "errno", "state"),
    [
        ("an unknown command", frame(b"\xf0", 0), Errno.UNKNOWN_COM, "08S01"),
        ("an empty command", frame(b"", 0), Errno.UNKNOWN_COM, "08S01"),
        ("a wrong number", frame(b"\x0e", 3), Errno.NET_PACKETS_OUT_OF_ORDER, "08S01"),
        ("a length beyond all bounds",
         struct.pack("<I", 0xFFFFFF) + b"\x03" + bytes(0xFFFFFE) + struct.pack("<I", 0xFFFFFF | 1 << 24),
         Errno.NET_PACKET_TOO_LARGE, "08S01"),
        ("invalid UTF-8", frame(b"\x03select \xff\xfe", 0), Errno.INVALID_CHARACTER_STRING, "HY000"),
        ("invalid UTF-8 in a schema", frame(b"\x02\xff", 0), Errno.INVALID_CHARACTER_STRING, "HY000"),
        ("a kill cut short", frame(b"\x0c\1", 0), Errno.MALFORMED_PACKET, "HY000"),
        ("an execute cut short", frame(b"\x17\1\0", 0), Errno.MALFORMED_PACKET, "HY000"),
    ],
)  # fmt: skip
def test_bad_packets_end_in_one_error_and_harm_nobody(
    make: Make, name: str, data: bytes, errno: int, state: str
) -> None:
    rig, _ = make(1, shared_key="bad input")
    client, other = Raw(rig), connect(rig)
    client.sock.sendall(data)
    reader, got = PacketReader(1 << 20, seq=1 + len(data) // 0x1000000), b""
    while more := client.sock.recv(65536):
        got += more
    reader.feed(got)
    error = Err.parse(reader.take() or b"")
    assert (error.errno, error.state, reader.buffered) == (errno, state, 0)
    assert ask(other, ROW) == (("n1", 1000),)


@pytest.mark.parametrize(
    ("body", "errno"),
    [
        (b"\x07\x01", Errno.UNKNOWN_COM),  # COM_REFRESH
        (b"\x08", Errno.UNKNOWN_COM),  # COM_SHUTDOWN
        (b"\x12" + bytes(10), Errno.UNKNOWN_COM),  # COM_BINLOG_DUMP
        (b"\x17" + b"\x63\0\0\0" + bytes(5), Errno.UNKNOWN_STMT_HANDLER),
        (b"\x1c" + b"\x63\0\0\0" + bytes(4), Errno.UNKNOWN_STMT_HANDLER),
        (b"\x03load data local infile '/etc/passwd' into table t", Errno.CLIENT_LOCAL_FILES_DISABLED),
        (b"\x03", 1065),
        (b"\x03select 1; select 2", Errno.PARSE),
        (b"\x03selct", Errno.PARSE),
    ],
)
def test_what_is_not_supported_is_one_error_and_the_session_goes_on(
    make: Make, body: bytes, errno: int
) -> None:
    rig, _ = make(1, shared_key="bad input")
    client = Raw(rig)
    client.send(body)
    assert client.error().errno == errno
    client.send(b"\x0e")
    assert client.take()[:1] == b"\0"


def test_logins_that_break_the_protocol(make: Make) -> None:
    rig, _ = make(1, more="  login_ms: 400\n  sessions: 3\n")
    caps = NEW & ~Capability.CONNECT_WITH_DB
    for data, errno in (
        (frame(b"\x00\x02\x00\x00", 1), Errno.MALFORMED_PACKET),
        (frame(b"\x01\x00", 1), Errno.BAD_HANDSHAKE),
        (frame(SslRequest(caps | Capability.SSL).encode(), 1), Errno.BAD_HANDSHAKE),
        (frame(Login(caps | Capability.COMPRESS, "web", b"x" * 20).encode(), 1), Errno.NOT_SUPPORTED_YET),
        (
            frame(Login(caps, "web", b"").encode().replace(b"web", b"\xff\xff\xff"), 1),
            Errno.INVALID_CHARACTER_STRING,
        ),
        (b"\x20\0\0\x01abc", Errno.NET_READ_INTERRUPTED),  # an incomplete login packet
        (b"", Errno.NET_READ_INTERRUPTED),
    ):
        sock = socket.create_connection(rig.address, WAIT)
        sock.sendall(data)
        got = b""
        while more := sock.recv(65536):
            got += more
        greeting = int.from_bytes(got[:3], "little") + 4
        assert Err.parse(got[greeting + 4 :]).errno == errno
        sock.close()
    rig.until(lambda: rig.sidecar.mysql is not None and not rig.sidecar.mysql.front.session_count)
    held = [socket.create_connection(rig.address, WAIT) for _ in range(4)]
    firsts = [sock.recv(65536)[4] for sock in held]
    assert sorted(firsts) == [10, 10, 10, 0xFF]
    for sock in held:
        sock.close()


def test_a_message_over_16_mb_goes_through_whole(make: Make) -> None:
    rig, _ = make(1, more="  max_packet_mb: 40\n  memory_mb: 80\n")
    client = connect(rig, max_allowed_packet=1 << 26, client_flag=CLIENT.MULTI_STATEMENTS)
    text = "x" * (17 * 1024 * 1024)
    assert ask(client, f"select length('{text}')") == ((len(text),),)
    with client.cursor() as cursor:
        cursor.execute("select repeat('y', 17000000)")
        assert cursor.fetchone() == ("y" * 17_000_000,)
        cursor.execute("select 1; select 2; update accounts set money = 5 where name = 'n9'")
        assert cursor.fetchall() == ((1,),)
        assert cursor.nextset()
        assert cursor.fetchall() == ((2,),)
        assert cursor.nextset()
        assert cursor.rowcount == 1


# --- prepared statements, old servers, session tracking, a full pool ----------------------------


def prepare(client: Raw, text: str) -> Prepared:
    client.send(b"\x16" + text.encode())
    answer = Prepared.parse(client.take())
    for count in (answer.parameters, answer.columns):
        for _ in range(count):
            client.take()
        if count and not client.caps & Capability.DEPRECATE_EOF:
            client.take()
    return answer


@pytest.mark.parametrize("server", [OLD_SERVER, CAPABILITIES])
@pytest.mark.parametrize("caps", [NEW, NEW & ~Capability.DEPRECATE_EOF])
def test_cursors_long_data_and_resets(make: Make, server: int, caps: int) -> None:
    rig, _ = make(2, shared_key="cursors", capabilities=server)
    client, new = Raw(rig, caps), bool(caps & Capability.DEPRECATE_EOF)
    many = prepare(client, "select id, pad from generated where n = 5 and width = 3")
    length = prepare(client, "select length(?)")

    def execute(number: int, flags: int = 0, parameter: bytes = b"") -> list[bytes]:
        client.send(b"\x17" + struct.pack("<IBI", number, flags, 1) + parameter)
        out = [client.take()]
        while out[-1][:1] not in (b"\xfe", b"\xff") or (len(out) < 4 and not new and not flags):
            out.append(client.take())
            if not new and not flags and out[-1][:1] == b"\xfe" and len(out) == 2 + out[0][0]:
                out.append(client.take())
        return out

    def fetch(number: int, count: int) -> tuple[int, int]:
        client.send(b"\x1c" + struct.pack("<II", number, count))
        out = [client.take()]
        while out[-1][:1] not in (b"\xfe", b"\xff"):
            out.append(client.take())
        if out[-1][:1] == b"\xff":
            return -1, Err.parse(out[-1]).errno
        status = Ok.parse(out[-1], caps).status if new else Eof.parse(out[-1]).status
        return len(out) - 1, status & (Status.CURSOR_EXISTS | Status.LAST_ROW_SENT)

    opened = execute(many.statement, 1)
    assert len(opened) == 4  # the column count, two columns and one end packet, but no rows yet
    for rows, status in ((2, Status.CURSOR_EXISTS), (2, Status.CURSOR_EXISTS), (1, Status.LAST_ROW_SENT)):
        assert fetch(many.statement, 2) == (rows, status)
    assert fetch(many.statement, 2) == (-1, 1421)
    execute(many.statement, 1)
    client.send(b"\x1a" + struct.pack("<I", many.statement))
    assert client.take()[0] == 0
    assert fetch(many.statement, 2) == (-1, 1421)
    assert not session_of(rig, client).pinned
    for part in (b"abc", b"defg"):
        client.send(b"\x18" + struct.pack("<IH", length.statement, 0) + part)
    parameter = b"\0\1\xfc\0"
    assert any(message.endswith(struct.pack("<q", 7)) for message in execute(length.statement, 0, parameter))
    again = execute(length.statement, 0, b"\0\0\x02zz")  # reuses the types; the long data is gone
    assert any(message.endswith(struct.pack("<q", 2)) for message in again)
    client.send(b"\x19" + struct.pack("<I", length.statement))
    client.send(b"\x17" + struct.pack("<IBI", length.statement, 0, 1) + parameter)
    assert client.error().errno == Errno.UNKNOWN_STMT_HANDLER
    client.close()


def session_of(rig: MysqlRig, client: Raw) -> Session:
    assert rig.sidecar.mysql is not None
    return rig.sidecar.mysql.front._clients[client.thread].session


@pytest.mark.parametrize("server", [OLD_SERVER, CAPABILITIES])
def test_session_state_is_told_to_clients_that_track_it(make: Make, server: int) -> None:
    rig, _ = make(1, shared_key="tracking", capabilities=server)
    for caps in (NEW, NEW | int(Capability.SESSION_TRACK)):
        client = Raw(rig, caps)
        client.send(b"\x02shop")
        ok = Ok.parse(client.take(), caps)
        tracked = bool(caps & server & Capability.SESSION_TRACK)
        assert (parse_session_changes(ok.session_changes) == [(SessionChange.SCHEMA, (b"shop",))]) is tracked
        assert bool(ok.status & Status.SESSION_STATE_CHANGED) is tracked
        client.send(b"\x03" + ROW.encode())
        assert len(client.take_result()) == 5
        client.close()


def test_a_pool_whose_connections_are_all_held_refuses_within_its_wait(make: Make) -> None:
    rig, servers = make(1, more="  connections: 1\n  pool_wait_ms: 100\n")
    holder, other = connect(rig), connect(rig)
    ask(holder, "set @a = 1")
    assert error_number(other, ROW) == Errno.SERVER_ISNT_AVAILABLE
    assert rig.count("connections_lacking") == 1
    assert ask(holder, "select @a") == ((1,),)
    holder.close()
    assert retry_until_accepted(other, ROW) == (("n1", 1000),)
    assert servers.servers[0].most_open == 1


def test_what_is_prepared_counts_against_the_memory_of_all(make: Make) -> None:
    rig, _ = make(1, more="  memory_mb: 1\n  max_packet_mb: 4\n")
    clients = [Raw(rig) for _ in range(6)]
    text = b"\x16select length('" + b"x" * 240_000 + b"')"
    answers = []
    for client in clients:
        client.send(text)
        answers.append(client.take()[:3])
    refused = b"\xff" + struct.pack("<H", Errno.OUT_OF_RESOURCES)
    assert answers.count(refused) >= 2
    assert answers.count(refused) < 6
    for client in clients:
        client.close()
    rig.until(lambda: rig.sidecar.mysql is not None and not rig.sidecar.mysql.front.session_count)
    assert rig.sidecar.mysql is not None
    assert rig.sidecar.mysql.front._memory_left == 1024 * 1024


def test_a_client_that_sends_ahead_is_read_within_bounds_and_answered_in_turn(make: Make) -> None:
    rig, _ = make(1, shared_key="sending ahead")
    client, count = Raw(rig), 60
    text = b"\x03select 1 /* " + b"x" * 10_000 + b" */"
    client.send(b"\x03begin")
    assert client.take()[0] == 0
    client.send(b"\x03select sleep(0.5)")
    ahead = threading.Thread(target=client.sock.sendall, args=(frame(text, 0) * count,))
    ahead.start()
    mysql = rig.sidecar.mysql
    assert mysql is not None
    most = 0
    while not rig.do(lambda: mysql.front._clients[client.thread].reader.buffered > 128 * 1024):
        pass
    for _ in range(20):
        most = max(most, rig.do(lambda: mysql.front._clients[client.thread].reader.buffered))
    assert most < 256 * 1024
    assert len(client.take_result()) == 4
    for _ in range(count):
        client.reader.set_sequence(1)
        assert client.take_result()[0] == b"\x01"
    ahead.join()
    client.close()
