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

CLASSIFIER = StatementClassifier()
CAPS = int(Capability.PROTOCOL_41 | Capability.DEPRECATE_EOF)


def classify(text: str, multi: bool = False) -> Statement:
    return CLASSIFIER.classify(text.encode("utf-8", "surrogateescape"), multi)


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
    statement = classify(text)
    assert (statement.kind, statement.plain_read) == (kind, plain)
    assert (PinReason.UNKNOWN in dict(statement.pins) or PinReason.PREPARED in dict(statement.pins)) is (
        kind is StatementKind.UNKNOWN
    )


def test_several_statements_are_what_the_worst_of_them_is() -> None:
    assert classify("select 1; select 2;", True).plain_read
    mixed = classify("select 1; set @a = 2; insert into t values (1)", True)
    assert (mixed.kind, mixed.plain_read, mixed.count) == (StatementKind.WRITE, False, 3)
    assert dict(mixed.pins) == {PinReason.USER_VARIABLE: "a"}
    assert classify("select 1; call p()", True).kind is StatementKind.UNKNOWN
    assert classify("select 1; kill 5", True).kind is StatementKind.UNKNOWN


def test_digests_leave_out_literals_comments_and_spaces() -> None:
    one = "SELECT *\n FROM t WHERE a IN (1, 2, 3) /* here */ AND b='x''y' -- there"
    assert classify(one).digest == classify('select * from t where a in (4) and b = "z"').digest
    assert (
        classify("insert into t values (1,'a'),(2,'b')").digest
        == classify("insert into t values (1,'a')").digest
    )
    assert "secret" not in classify("set password = 'secret'").digest
    assert build_digest(tokenize(b"select -1.5e3, 0x1F, .5, a1 from t2")[0]) == "select - ?+, a1 from t2"


def test_a_literal_without_its_end_is_in_no_digest() -> None:
    for text in (
        b"alter user x identified by 'hunter2 b",
        b"set password = 'it's hunter2'",
        b'select "hunter2',
    ):
        assert "hunter2" not in CLASSIFIER.classify(text).digest


def test_sqlglot_is_asked_once_a_digest_and_what_is_kept_is_bounded() -> None:
    classifier = StatementClassifier(digests=50, texts=50)
    for at in range(200):
        classifier.classify(f"select * from t where id = {at}".encode())
    assert classifier.parsed_digests == 1
    for at in range(200):
        classifier.classify(f"select c{at} from t".encode())
    assert (classifier.parsed_digests, len(classifier), len(classifier._by_text)) == (201, 50, 50)


def test_hints() -> None:
    statement = classify("/* brambleusher: class=look tenant=acme deadline_ms=250 work_us=900 */ select 1")
    assert statement.hint == Hint("look", "acme", 250, 900)
    assert statement.digest == "select ?"
    assert classify("select 1 /* brambleusher: deadline_ms=soon class= x */").hint == Hint()
    assert classify("select 1").hint is None


def test_long_texts_are_told_by_their_first_word() -> None:
    long = "x" * 70_000
    assert classify(f"insert into t values ('{long}')").kind is StatementKind.WRITE
    assert classify(f"insert into t values ('{long}', @a)").kind is StatementKind.UNKNOWN
    assert classify(f"select '{long}'").kind is StatementKind.UNKNOWN


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
    statement = classify(text)
    assert dict(statement.settings) == settings
    assert {pin for pin, _ in statement.pins} == pins


def test_settings_after_which_no_text_can_be_told_apart() -> None:
    for text in ("set sql_mode = 'NO_BACKSLASH_ESCAPES'", "set sql_mode='ANSI_QUOTES'", "set names gbk"):
        assert classify(text).opaque_after
    session = new_session()
    run(session, "set names gbk")
    assert session.opaque
    assert CLASSIFIER.classify(b"select 1", opaque=True).kind is StatementKind.UNKNOWN
    assert replay_text(session.settings.items()) == b"SET names gbk"


# --- sessions -----------------------------------------------------------------------------------


def new_session() -> Session:
    return Session("web", "registry", CAPS, 45, "shop")


def reply(status: int = int(Status.AUTOCOMMIT), error: Err | None = None, **ok: Any) -> ReplyRelay:
    relay = ReplyRelay(Command.QUERY, CAPS, CAPS)
    relay.feed(frame(error.encode() if error is not None else Ok(status=status, **ok).encode(CAPS), 1))
    assert relay.done
    return relay


def run(session: Session, text: str, relay: ReplyRelay | None = None) -> Session:
    session.apply_reply(classify(text, True), relay or reply())
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
    session = new_session()
    assert not session.pinned
    for text, answer, pinned in TABLE[pin]:
        run(session, text, answer)
        assert (pin in session.pins) is pinned, text
        assert session.pinned is pinned, (text, session.pin_description)
        assert Session.from_state(session.state()).state() == session.state()
    session.reset()
    assert not session.pinned


def test_a_cursor_with_rows_left_ties() -> None:
    session = new_session()
    number = session.next_prepared()
    session.record_prepared(number, b"select 1", classify("select 1"), Prepared(9, 1, 0))
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
    assert not run(new_session(), "call p()", reply(error=syntax)).pinned
    assert run(new_session(), "call p()", reply(error=Err(1305, "HY000", "half way"))).pinned
    assert not run(
        new_session(), "create temporary table x (a int)", reply(error=Err(1050, "42S01", "no"))
    ).pinned
    # The first of the two statements may have run.
    assert run(new_session(), "set @a = 1; selct", reply(error=syntax)).pinned
    failed = run(run(new_session(), "begin", reply(OPEN)), "commit", reply(error=Err(1105, "HY000", "no")))
    assert PinReason.TRANSACTION in failed.pins  # an ERR packet carries no transaction status


def test_a_setting_made_twice_is_replayed_as_it_was_made_last() -> None:
    session = run(run(run(new_session(), "set sql_mode = 'A'"), "set time_zone = 'B'"), "set sql_mode = 'C'")
    assert replay_text(session.settings.items()) == b"SET SESSION time_zone = 'B', SESSION sql_mode = 'C'"
    run(session, "set sql_mode = 'D'", reply(error=Err(1231, "42000", "no")))
    assert session.settings["sql_mode"].endswith("'C'")


def test_an_id_given_is_the_connections_to_tell() -> None:
    session = run(new_session(), "insert into t values (null)", reply(last_id=7))
    assert session.last_id is None
    assert not session.pinned
    assert session.setup(True).last_id is None


def test_prepared_statements_keep_types_and_long_data() -> None:
    session = new_session()
    number = session.next_prepared()
    session.record_prepared(
        number, b"insert into t values (?, ?)", classify("insert into t values (?, ?)"), Prepared(9, 0, 2)
    )
    types = b"\x08\0\xfc\0"
    session.long_data(b"\x18" + number.to_bytes(4, "little") + b"\1\0" + b"abc", 1000)
    first = Execute(number, 0, b"\0", types, bytes(8))
    assert session.execute(first.encode(2))[1].types == types
    again = Execute(number, 0, b"\0", None, bytes(8))
    # The types are filled in for a connection that never received them.
    assert session.execute(again.encode(2))[1].types == types
    with pytest.raises(ProtocolError) as caught:
        session.long_data(b"\x18" + number.to_bytes(4, "little") + b"\1\0" + bytes(2000), 1000)
    assert caught.value.errno == Errno.NET_PACKET_TOO_LARGE
    with pytest.raises(ProtocolError) as caught:
        session.find(number + 1)
    assert caught.value.errno == Errno.UNKNOWN_STMT_HANDLER
    for _ in range(MAX_PREPARED - 1):
        session.record_prepared(session.next_prepared(), b"", classify("select 1"), Prepared(1, 0, 0))
    with pytest.raises(ProtocolError):
        session.next_prepared()


def test_what_a_session_holds_is_bounded() -> None:
    session = new_session()
    for at in range(MAX_SETTINGS + 5):
        run(session, f"set s{at} = {at}")
    assert len(session.settings) == MAX_SETTINGS
    assert PinReason.SETTING in session.pins  # a setting that is not replayed exists on this connection only
    long = run(new_session(), f"set sql_mode = '{'x' * 20_000}'")
    assert (long.settings, long.pinned) == ({}, True)
    for at in range(MAX_PIN_NAMES + 5):
        run(session, f"select get_lock('{at}', 1)")
    assert len(session.pins[PinReason.NAMED_LOCK]) <= MAX_PIN_NAMES + 1
    with pytest.raises(ProtocolError) as caught:
        new_session().next_prepared(MAX_PREPARED_TEXT + 1)
    assert caught.value.errno == Errno.NOT_SUPPORTED_YET
    classifier = StatementClassifier()
    classifier.classify(b"select " + b", ".join(b"c%d" % at for at in range(2000)))
    assert len(classifier) == 0
