"""Tests of the `mysql:` section, its files, the mapping to requests, and lazy loading of the packages."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from brambleusher.fronts.mysql.constants import NATIVE
from brambleusher.fronts.mysql.mapping import RequestMapper
from brambleusher.fronts.mysql.settings import (
    check_against,
    load_accounts,
    load_secrets,
    load_users,
    parse_mysql,
)
from brambleusher.fronts.mysql.statements import StatementClassifier
from brambleusher.loadbalancing import api
from brambleusher.operator_settings.configuration import parse_operator_file
from brambleusher.operator_settings.section import OperatorFileError
from brambleusher.sidecar.app import Sidecar
from brambleusher.sidecar.configuration import parse_config

GOOD: dict[str, Any] = {
    "listen": "127.0.0.1:3307", "users_file": "u", "accounts_file": "a", "strict_class": "move",
}  # fmt: skip
PLATFORM = api.Settings(
    zone="z",
    classes=(
        api.RequestClass("look", 10**9, 2 * 10**9, 1.0),
        api.RequestClass("move", 10**9, 3 * 10**9, 1.0, idempotency=api.Idempotency.UNSAFE),
        api.RequestClass("keyed", 10**9, 2 * 10**9, 1.0, idempotency=api.Idempotency.KEYED),
    ),
    fleet_size=1,
    tenants=(api.Tenant("acme", 0.5, 10.0), api.Tenant("peach", 0.5, 10.0)),
)


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"listen": None}, "mysql.listen is not a text"),
        ({"listen": "here"}, "mysql.listen: 'here' is not host:port"),
        ({"port": 0}, "mysql.port is not a whole number from 1 to 65535"),
        ({"addresses": {"h0": "x"}}, "mysql.addresses.h0: 'x' is not host:port"),
        ({"users": {"web": {"clas": "look"}}}, "mysql.users.web.clas is unknown"),
        ({"users": [1]}, "mysql.users is not a mapping with a size of at most 10000"),
        ({"statements": [{"text": "select 1"}]}, "mysql.statements[0] needs text and class"),
        ({"statements": [{"text": "select 'x", "class": "look"}]}, "mysql.statements[0].text can't be read"),
        ({"tls": {"mode": "required"}}, "mysql.tls needs cert_file and key_file"),
        ({"node_tls": {"mode": "required"}}, "mysql.node_tls.ca_file is missing"),
        ({"auth_plugin": "old"}, "mysql.auth_plugin is not one of caching_sha2_password"),
        ({"hints": "yes"}, "mysql.hints is not true or false"),
        ({"grace_ms": {"move": -1}}, "mysql.grace_ms.move is not a whole number"),
        ({"load": "guess"}, "mysql.load is not one of pool, none"),
        ({"pasword": "x"}, "mysql.pasword is unknown"),
    ],
)
def test_a_fault_names_its_key(change: dict[str, Any], words: str) -> None:
    with pytest.raises(OperatorFileError) as caught:
        parse_mysql({**GOOD, **change})
    assert str(caught.value).startswith(words)


@pytest.mark.parametrize("key", sorted(GOOD))
def test_what_must_be_there(key: str) -> None:
    with pytest.raises(OperatorFileError, match=f"mysql.{key} is missing"):
        parse_mysql({name: value for name, value in GOOD.items() if name != key})


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"strict_class": "look"}, "mysql.strict_class: class look allows retries"),
        ({"strict_class": "no"}, "mysql.strict_class: unknown class no"),
        ({"default_class": "keyed"}, "mysql.default_class: class keyed needs idempotency keys"),
        ({"users": {"web": {"tenant": "no"}}}, "mysql.users.web.tenant: unknown tenant no"),
        ({"tenant": None}, "mysql.tenant is missing"),
        ({"grace_ms": {"no": 5}}, "mysql.grace_ms.no: unknown class no"),
    ],
)
def test_it_must_fit_the_platform(change: dict[str, Any], words: str) -> None:
    given = {**GOOD, "tenant": "acme", **change}
    with pytest.raises(OperatorFileError) as caught:
        check_against(
            parse_mysql({key: value for key, value in given.items() if value is not None}), PLATFORM
        )
    assert str(caught.value).startswith(words)


def test_the_files(tmp_path: Path) -> None:
    users, accounts = tmp_path / "users", tmp_path / "accounts"
    users.write_text(f"# names\n\nweb {NATIVE} *{'AB' * 20}\n")
    accounts.write_text("web\tse cret\nempty\n")
    assert load_users(str(users))["web"].double_sha1 == bytes.fromhex("AB" * 20)
    passwords = load_accounts(str(accounts))
    assert (passwords.of("web"), passwords.of("empty")) == (b"se cret", b"")
    assert "cret" not in repr(passwords) + str(vars(passwords).keys())
    for text, words in (
        ("web\n", "line 1 is not a name, a plugin and a hash"),
        (f"web {NATIVE} *zz\n", "line 1: the hash is not"),
        (f"a {NATIVE} -\na {NATIVE} -\n", "line 2 defines a a second time"),
        ("web old -\n", "line 1: 'old'"),
    ):
        users.write_text(text)
        with pytest.raises(OperatorFileError) as caught:
            load_users(str(users))
        assert words in str(caught.value)
    users.write_bytes(b"\xff")
    with pytest.raises(OperatorFileError, match="is not UTF-8"):
        load_users(str(users))
    users.write_text(f"web {NATIVE} -\n")
    accounts.write_text("other x\n")
    given = parse_mysql({**GOOD, "users_file": str(users), "accounts_file": str(accounts)})
    with pytest.raises(OperatorFileError, match="has no account web, which user web needs"):
        load_secrets(given)
    with pytest.raises(OperatorFileError, match="can't be read"):
        load_users(str(tmp_path / "none"))


def test_what_a_statement_becomes() -> None:
    given = parse_mysql({
        **GOOD, "default_class": "look", "tenant": "acme",
        "users": {"web": {"class": "move", "tenant": "peach", "deadline_ms": 700}},
        "statements": [{"text": "select * from listings where id = 1", "class": "look", "deadline_ms": 300}],
    })  # fmt: skip
    mapping, classifier = RequestMapper(given, PLATFORM), StatementClassifier()

    def assign(text: str, user: str = "other", transaction: bool = False) -> tuple[Any, ...]:
        out = mapping.assign(classifier.classify(text.encode()), user, transaction)
        return out.request_class, out.tenant, out.deadline_ms, out.work_us, out.reason

    assert assign("select 1") == ("look", "acme", 2000, None, "default")
    assert assign("select 1", "web") == ("move", "peach", 700, None, "user")
    assert assign("SELECT * FROM listings WHERE id=77", "web") == ("look", "peach", 300, None, "digest")
    hint = "/* brambleusher: class=look tenant=acme deadline_ms=50 work_us=9 */ "
    assert assign(hint + "select 1", "web") == ("look", "acme", 50, 9, "hint")
    # Only a plain read may get a class whose requests are retried, whatever hints and rules say.
    assert assign(hint + "delete from t")[0] == "move"
    assert assign("select get_lock('a', 1)") == (
        "move", "acme", 3000, None, "default selects look, but the statement is not a plain read",
    )  # fmt: skip
    assert assign("begin", transaction=True)[0] == "move"
    assert assign("call p()")[4] == "unknown: call is not a known statement"
    assert assign("/* brambleusher: class=keyed tenant=no */ select 1")[:2] == ("look", "acme")
    first = mapping.assign(classifier.classify(b"select 1"), "other")
    assert [
        mapping.is_new_assignment(classifier.classify(b"select 1"), "other", first) for _ in range(2)
    ] == [
        True,
        False,
    ]


def test_sessions_that_do_not_fit_stop_the_start(tmp_path: Path) -> None:
    (tmp_path / "users").write_text("")
    (tmp_path / "accounts").write_text("")
    config = parse_config(
        b'{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"memory_mb":192},'
        b'"settings":{"zone":"z","fleet_size":1,"classes":[{"name":"move","promise_ns":1,"give_up_ns":1,'
        b'"effect":"non_idempotent","worth":1}],"safety":{"drain_grace_ns":1,"cold_ns":1,"start_capacity":1,'
        b'"fall_multiple":1,"fall_ns":1}}}',
        {},
    )
    for sessions, words in ((20_000, "limits.memory_mb"), (500, "limits.sockets")):
        text = (
            f"mysql: {{listen: '127.0.0.1:0', users_file: {tmp_path}/users, "
            f"accounts_file: {tmp_path}/accounts, strict_class: move, "
            f"sessions: {sessions}, memory_mb: 1, connections_total: 100}}"
        )
        with pytest.raises(OperatorFileError, match=words):
            Sidecar(config, operator=parse_operator_file(text.encode()))


def test_nothing_of_it_is_loaded_while_it_is_off() -> None:
    program = (
        "import sys, brambleusher.__main__, brambleusher.sidecar.app; "
        "from brambleusher.operator_settings.configuration import *; "
        "parse_operator_file(b'figures: {}'); "
        "print([name for name in sys.modules if name.split('.')[0] in ('sqlglot', 'cryptography', 'ssl') "
        "or 'fronts' in name])"
    )
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
