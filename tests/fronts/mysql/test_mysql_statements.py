"""Tests of statement classification and of the effects of statements on the session, with all pins."""

from __future__ import annotations

from typing import Any

import pytest

from brambleusher.fronts.mysql.constants import Capability, Command, Errno, Status
from brambleusher.fronts.mysql.messages import Err, Execute, Ok, Prepared
from brambleusher.fronts.mysql.packets import ProtocolError, frame
from brambleusher.fronts.mysql.replies import ReplyRelay
from brambleusher.fronts.mysql.session import (
    MAX_PIN_NAMES,
    MAX_PREPARED,
    MAX_PREPARED_TEXT,
    MAX_SETTINGS,
    PIN_RULES,
    Session,
    replay_text,
)
from brambleusher.fronts.mysql.statements import (
    Hint,
    PinReason,
    Statement,
    StatementClassifier,
    StatementKind,
    build_digest,
    tokenize,
)

TELL = StatementClassifier()
CAPS = int(Capability.PROTOCOL_41 | Capability.DEPRECATE_EOF)


def tell(text: str, multi: bool = False) -> Statement:
    return TELL.classify(text.encode("utf-8", "surrogateescape"), multi)


@pytest.mark.parametrize(
    ("text", "kind", "plain"),
    [
        ("select * from listings where id = 7", StatementKind.READ, True),
        (
            "SELECT count(*), max(price) FROM `listings` WHERE name LIKE 'a%' ORDER BY 1 LIMIT 3",
            StatementKind.READ,
            True,
        ),
        ("with a as (select 1) select * from a union select 2", StatementKind.READ, True),
        ("(select 1)", StatementKind.READ, True),
        ("table listings", StatementKind.READ, True),
        ("show tables", StatementKind.READ, True),
        ("explain select * from t", StatementKind.READ, True),
        ("select last_insert_id()", StatementKind.READ, True),
        ("select @a, @@session.sql_mode", StatementKind.READ, True),
        ("select 'insert into t', `delete` from t -- update", StatementKind.READ, True),
        ("select * from t for update", StatementKind.READ, False),
        ("select * from t lock in share mode", StatementKind.READ, False),
        ("select my_function(1)", StatementKind.READ, False),
        ("select sleep(1)", StatementKind.READ, False),
        ("select get_lock('a', 1)", StatementKind.READ, False),
        ("select * into outfile '/tmp/x' from t", StatementKind.UNKNOWN, False),
        ("select a into @x from t", StatementKind.READ, False),
        ("select @x := 1", StatementKind.READ, False),
        ("insert into t values (1, 'x')", StatementKind.WRITE, False),
        ("insert ignore into t (a) select b from u", StatementKind.WRITE, False),
        ("replace into t values (1)", StatementKind.WRITE, False),
        ("update t set a = a + 1 where b = 'c'", StatementKind.WRITE, False),
        ("delete from t where a in (1, 2, 3)", StatementKind.WRITE, False),
        ("with x as (select 1) delete from t", StatementKind.WRITE, False),
        ("explain analyze select 1", StatementKind.READ, True),
        ("do sleep(1)", StatementKind.READ, False),
        ("begin", StatementKind.BEGIN, False),
        ("START TRANSACTION READ ONLY", StatementKind.BEGIN, False),
        ("commit work", StatementKind.COMMIT, False),
        ("rollback", StatementKind.ROLLBACK, False),
        ("rollback to savepoint a", StatementKind.SAVEPOINT, False),
        ("release savepoint a", StatementKind.SAVEPOINT, False),
        ("create table t (a int)", StatementKind.DEFINE, False),
        ("truncate t", StatementKind.DEFINE, False),
        ("set names utf8mb4", StatementKind.SET, True),
        ("set global max_connections = 5", StatementKind.SET, False),
        ("use shop", StatementKind.USE, True),
        ("lock tables t write", StatementKind.LOCK, False),
        ("unlock tables", StatementKind.UNLOCK, False),
        ("load data local infile 'x' into table t", StatementKind.LOCAL_FILE, False),
        ("load data infile 'x' into table t", StatementKind.WRITE, False),
        ("", StatementKind.EMPTY, False),
        ("/* nothing */ -- at all", StatementKind.EMPTY, False),
        ("call p(1)", StatementKind.UNKNOWN, False),
        ("xa start 'a'", StatementKind.UNKNOWN, False),
        ("handler t open", StatementKind.UNKNOWN, False),
        ("prepare s from 'select 1'", StatementKind.UNKNOWN, False),
        ("select 1; select 2", StatementKind.UNKNOWN, False),  # the client lacks MULTI_STATEMENTS
        ("/*!50000 select */ 1", StatementKind.UNKNOWN, False),
        ("select 'open", StatementKind.UNKNOWN, False),
        ("select 1 /* open", StatementKind.UNKNOWN, False),
        ("gibberish", StatementKind.UNKNOWN, False),
    ],
)
def test_what_a_statement_is(text: str, kind: StatementKind, plain: bool) -> None:
    told = tell(text)
    assert (told.kind, told.plain_read) == (kind, plain)
    assert (PinReason.UNKNOWN in dict(told.pins) or PinReason.PREPARED in dict(told.pins)) is (
        kind is StatementKind.UNKNOWN
    )


def test_several_statements_are_what_the_worst_of_them_is() -> None:
    assert tell("select 1; select 2;", True).plain_read
    mixed = tell("select 1; set @a = 2; insert into t values (1)", True)
    assert (mixed.kind, mixed.plain_read, mixed.count) == (StatementKind.WRITE, False, 3)
    assert dict(mixed.pins) == {PinReason.USER_VARIABLE: "a"}
    assert tell("select 1; call p()", True).kind is StatementKind.UNKNOWN
    assert tell("select 1; kill 5", True).kind is StatementKind.UNKNOWN


def test_digests_leave_out_literals_comments_and_spaces() -> None:
    one = "SELECT *\n FROM t WHERE a IN (1, 2, 3) /* here */ AND b='x''y' -- there"
    assert tell(one).digest == tell('select * from t where a in (4) and b = "z"').digest
    assert tell("insert into t values (1,'a'),(2,'b')").digest == tell("insert into t values (1,'a')").digest
    assert "secret" not in tell("set password = 'secret'").digest
    assert build_digest(tokenize(b"select -1.5e3, 0x1F, .5, a1 from t2")[0]) == "select - ?+, a1 from t2"


def test_a_literal_without_its_end_is_in_no_digest() -> None:
    for text in (
        b"alter user x identified by 'hunter2 b",
        b"set password = 'it's hunter2'",
        b'select "hunter2',
    ):
        assert "hunter2" not in TELL.classify(text).digest


def test_sqlglot_is_asked_once_a_digest_and_what_is_kept_is_bounded() -> None:
    told = StatementClassifier(digests=50, texts=50)
    for at in range(200):
        told.classify(f"select * from t where id = {at}".encode())
    assert told.parsed_digests == 1
    for at in range(200):
        told.classify(f"select c{at} from t".encode())
    assert (told.parsed_digests, len(told), len(told._by_text)) == (201, 50, 50)


def test_hints() -> None:
    told = tell("/* brambleusher: class=look tenant=acme deadline_ms=250 work_us=900 */ select 1")
    assert told.hint == Hint("look", "acme", 250, 900)
    assert told.digest == "select ?"
    assert tell("select 1 /* brambleusher: deadline_ms=soon class= x */").hint == Hint()
    assert tell("select 1").hint is None


def test_long_texts_are_told_by_their_first_word() -> None:
    long = "x" * 70_000
    assert tell(f"insert into t values ('{long}')").kind is StatementKind.WRITE
    assert tell(f"insert into t values ('{long}', @a)").kind is StatementKind.UNKNOWN
    assert tell(f"select '{long}'").kind is StatementKind.UNKNOWN


@pytest.mark.parametrize(
    ("text", "settings", "pins"),
    [
        ("set sql_mode = 'ANSI_X', @@session.time_zone='+00:00'",
         {"sql_mode": "SESSION sql_mode = 'ANSI_X'", "time_zone": "SESSION time_zone = '+00:00'"}, set()),
        ("set names latin1 collate latin1_bin", {"names": "names latin1 collate latin1_bin"}, set()),
        ("set session transaction isolation level read committed",
         {"transaction isolation": "SESSION transaction isolation level read committed"}, set()),
        ("set wait_timeout = -1", {"wait_timeout": "SESSION wait_timeout = -1"}, set()),
        ("set transaction isolation level serializable", {}, {PinReason.NEXT_TRANSACTION}),
        ("set @@transaction_isolation = 'SERIALIZABLE'", {}, {PinReason.NEXT_TRANSACTION}),
        ("set transaction_isolation = 'SERIALIZABLE'",
         {"transaction_isolation": "SESSION transaction_isolation = 'SERIALIZABLE'"}, set()),
        ("set sql_select_limit = @@max_join_size", {}, {PinReason.SETTING}),
        ("set timestamp = 5", {}, {PinReason.SETTING}),
        ("set @a = 1, sql_mode = ''", {"sql_mode": "SESSION sql_mode = ''"}, {PinReason.USER_VARIABLE}),
        ("set global sort_buffer_size = 5", {}, set()),
        ("set role admin", {}, {PinReason.SETTING}),
    ],
)  # fmt: skip
def test_what_is_replayed_and_what_ties(text: str, settings: dict[str, str], pins: set[PinReason]) -> None:
    told = tell(text)
    assert dict(told.settings) == settings
    assert {pin for pin, _ in told.pins} == pins


def test_settings_after_which_no_text_can_be_told_apart() -> None:
    for text in ("set sql_mode = 'NO_BACKSLASH_ESCAPES'", "set sql_mode='ANSI_QUOTES'", "set names gbk"):
        assert tell(text).opaque_after
    session = fresh()
    run(session, "set names gbk")
    assert session.opaque
    assert TELL.classify(b"select 1", opaque=True).kind is StatementKind.UNKNOWN
    assert replay_text(session.settings.items()) == b"SET names gbk"


# --- sessions -----------------------------------------------------------------------------------


def fresh() -> Session:
    return Session("web", "registry", CAPS, 45, "shop")


def reply(status: int = int(Status.AUTOCOMMIT), error: Err | None = None, **ok: Any) -> ReplyRelay:
    relay = ReplyRelay(Command.QUERY, CAPS, CAPS)
    relay.feed(frame(error.encode() if error is not None else Ok(status=status, **ok).encode(CAPS), 1))
    assert relay.done
    return relay


def run(session: Session, text: str, relay: ReplyRelay | None = None) -> Session:
    session.apply_reply(tell(text, True), relay or reply())
    return session


OPEN = int(Status.AUTOCOMMIT | Status.IN_TRANS)
TABLE: dict[PinReason, list[tuple[str, ReplyRelay | None, bool]]] = {
    PinReason.TRANSACTION: [
        ("begin", reply(OPEN), True), ("update t set a = 1", reply(OPEN), True), ("commit", None, False),
    ],
    PinReason.AUTOCOMMIT_OFF: [
        ("set autocommit = 0", reply(0), False), ("select 1", reply(0), True), ("commit", reply(0), False),
        ("update t set a = 1", reply(int(Status.IN_TRANS)), True), ("rollback", reply(0), False),
        ("select 1", reply(0), True), ("set autocommit = 1", None, False),
    ],
    PinReason.TABLE_LOCKS: [("lock tables t read", None, True), ("unlock tables", None, False)],
    PinReason.NAMED_LOCK: [
        ("select get_lock('a', 1)", None, True), ("select get_lock('b', 1)", None, True),
        ("select release_lock('a')", None, True), ("select release_lock('b')", None, False),
        ("select get_lock('a', 1)", None, True), ("select release_all_locks()", None, False),
    ],
    PinReason.TEMPORARY_TABLE: [
        ("create temporary table if not exists shop.x (a int)", None, True), ("drop table y", None, True),
        ("drop temporary table if exists shop.x", None, False),
    ],
    PinReason.USER_VARIABLE: [("set @a = 1", None, True), ("set @a = null", None, True)],
    PinReason.SETTING: [("set timestamp = 7", None, True)],
    PinReason.NEXT_TRANSACTION: [
        ("set transaction isolation level serializable", None, True), ("begin", reply(OPEN), True),
        ("commit", None, False),
    ],
    PinReason.PREPARED: [("prepare s from 'select 1'", None, True), ("deallocate prepare s", None, True)],
    PinReason.DIAGNOSTICS: [
        ("insert into t values ('x')", reply(warnings=1), True), ("show warnings", None, True),
        ("select 1", None, False), ("select sql_calc_found_rows 1", None, True),
        ("select found_rows()", None, True), ("select 1", None, False),
    ],
    PinReason.UNKNOWN: [("call p()", None, True), ("select 1", None, True)],
}  # fmt: skip


def test_every_tie_of_the_table_has_its_test() -> None:
    assert set(TABLE) | {PinReason.UNREAD} == set(PIN_RULES) == set(PinReason)


@pytest.mark.parametrize("pin", list(TABLE))
def test_how_each_tie_is_made_and_lifted(pin: PinReason) -> None:
    session = fresh()
    assert not session.pinned
    for text, answer, pinned in TABLE[pin]:
        run(session, text, answer)
        assert (pin in session.pins) is pinned, text
        assert session.pinned is pinned, (text, session.pin_description)
        assert Session.from_state(session.state()).state() == session.state()
    session.reset()
    assert not session.pinned


def test_a_cursor_with_rows_left_ties() -> None:
    session = fresh()
    number = session.next_prepared()
    session.record_prepared(number, b"select 1", tell("select 1"), Prepared(9, 1, 0))
    found = session.find(number)
    session.record_executed(found, 1, reply(int(Status.CURSOR_EXISTS)))
    assert PinReason.UNREAD in session.pins
    session.record_fetched(number, reply(int(Status.CURSOR_EXISTS)))
    assert session.pinned
    session.record_fetched(number, reply(int(Status.LAST_ROW_SENT)))
    assert not session.pinned
    session.record_executed(found, 1, reply(int(Status.CURSOR_EXISTS)))
    session.close_prepared(number)
    assert not session.pinned


def test_what_did_not_run_ties_nothing_and_what_may_have_does() -> None:
    syntax = Err(1064, "42000", "no")
    assert not run(fresh(), "call p()", reply(error=syntax)).pinned
    assert run(fresh(), "call p()", reply(error=Err(1305, "HY000", "half way"))).pinned
    assert not run(fresh(), "create temporary table x (a int)", reply(error=Err(1050, "42S01", "no"))).pinned
    assert run(fresh(), "set @a = 1; selct", reply(error=syntax)).pinned  # the first statement may have run
    failed = run(run(fresh(), "begin", reply(OPEN)), "commit", reply(error=Err(1105, "HY000", "no")))
    assert PinReason.TRANSACTION in failed.pins  # an ERR packet carries no transaction status


def test_a_setting_made_twice_is_replayed_as_it_was_made_last() -> None:
    session = run(run(run(fresh(), "set sql_mode = 'A'"), "set time_zone = 'B'"), "set sql_mode = 'C'")
    assert replay_text(session.settings.items()) == b"SET SESSION time_zone = 'B', SESSION sql_mode = 'C'"
    run(session, "set sql_mode = 'D'", reply(error=Err(1231, "42000", "no")))
    assert session.settings["sql_mode"].endswith("'C'")


def test_an_id_given_is_the_connections_to_tell() -> None:
    session = run(fresh(), "insert into t values (null)", reply(last_id=7))
    assert session.last_id is None
    assert not session.pinned
    assert session.required_state(True).last_id is None


def test_prepared_statements_keep_types_and_long_data() -> None:
    session = fresh()
    number = session.next_prepared()
    session.record_prepared(
        number, b"insert into t values (?, ?)", tell("insert into t values (?, ?)"), Prepared(9, 0, 2)
    )
    types = b"\x08\0\xfc\0"
    session.long_data(b"\x18" + number.to_bytes(4, "little") + b"\1\0" + b"abc", 1000)
    first = Execute(number, 0, b"\0", types, bytes(8))
    assert session.execute(first.encode(2))[1].types == types
    again = Execute(number, 0, b"\0", None, bytes(8))
    assert (
        session.execute(again.encode(2))[1].types == types
    )  # the types are filled in for a connection that never received them
    with pytest.raises(ProtocolError) as caught:
        session.long_data(b"\x18" + number.to_bytes(4, "little") + b"\1\0" + bytes(2000), 1000)
    assert caught.value.errno == Errno.NET_PACKET_TOO_LARGE
    with pytest.raises(ProtocolError) as caught:
        session.find(number + 1)
    assert caught.value.errno == Errno.UNKNOWN_STMT_HANDLER
    for _ in range(MAX_PREPARED - 1):
        session.record_prepared(session.next_prepared(), b"", tell("select 1"), Prepared(1, 0, 0))
    with pytest.raises(ProtocolError):
        session.next_prepared()


def test_what_a_session_holds_is_bounded() -> None:
    session = fresh()
    for at in range(MAX_SETTINGS + 5):
        run(session, f"set s{at} = {at}")
    assert len(session.settings) == MAX_SETTINGS
    assert PinReason.SETTING in session.pins  # a setting that is not replayed exists on this connection only
    long = run(fresh(), f"set sql_mode = '{'x' * 20_000}'")
    assert (long.settings, long.pinned) == ({}, True)
    for at in range(MAX_PIN_NAMES + 5):
        run(session, f"select get_lock('{at}', 1)")
    assert len(session.pins[PinReason.NAMED_LOCK]) <= MAX_PIN_NAMES + 1
    with pytest.raises(ProtocolError) as caught:
        fresh().next_prepared(MAX_PREPARED_TEXT + 1)
    assert caught.value.errno == Errno.NOT_SUPPORTED_YET
    told = StatementClassifier()
    told.classify(b"select " + b", ".join(b"c%d" % at for at in range(2000)))
    assert len(told) == 0
