"""Compares the results of real client libraries through the sidecar with those of direct connections."""

from __future__ import annotations

import asyncio
import datetime as dt
import ssl
import subprocess
from collections.abc import Callable, Iterator
from decimal import Decimal
from pathlib import Path
from typing import Any

import aiomysql
import mysql.connector
import pymysql
import pytest
import sqlalchemy as sa

from tests.fronts.mysql.mysql_rig import MysqlRig, Servers

Target = tuple[str, int, str, str]  # host, port, user, password
Values = list[Any]
TABLE = (
    "create table {} (id int primary key auto_increment, name varchar(50), price decimal(10,2), "
    "at datetime, day date, raw blob, part double)"
)
WHEN, DAY = dt.datetime(2026, 12, 1, 18, 30, 5), dt.date(2026, 12, 1)
ROWS: list[tuple[Any, ...]] = [
    ("séat 1", Decimal("12.50"), WHEN, DAY, b"\x00\xff'\\", 0.25),
    (None, None, None, None, None, None),
    ("x" * 300, Decimal("-0.01"), WHEN, DAY, bytes(range(256)), -1e10),
]
INSERT = "insert into {} (name, price, at, day, raw, part) values (%s, %s, %s, %s, %s, %s)"
BIG = "select id, pad from generated where n = 20000 and width = 60"


@pytest.fixture(scope="module")
def rig(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[MysqlRig, Servers]]:
    folder = tmp_path_factory.mktemp("clients")
    subprocess.run(
        ["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-keyout", folder / "key.pem", "-out",
         folder / "cert.pem", "-days", "2", "-subj", "/CN=localhost",
         "-addext", "subjectAltName=DNS:localhost"],
        check=True, capture_output=True,
    )  # fmt: skip
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(folder / "cert.pem", folder / "key.pem")
    servers = Servers(1, tls=context)
    tls = f"  tls: {{mode: preferred, cert_file: {folder}/cert.pem, key_file: {folder}/key.pem}}\n"
    # The latency target holds on a busy machine too; otherwise the load balancer would reject requests.
    rig = MysqlRig(folder, servers, tls, latency_target_s=20)
    yield rig, servers
    rig.end()
    servers.end()


def targets(rig: MysqlRig, servers: Servers) -> list[Target]:
    return [(*servers.address(), "web", "pw"), (*rig.address, "web", "front")]


def seen(cursor: Any) -> list[Any]:
    """Return the names and types of the result columns, and the rows."""
    rows = [tuple(row) for row in cursor.fetchall()]
    return [[tuple(each[:2]) for each in cursor.description], rows]


def error_of(call: Callable[[], Any]) -> tuple[str, int, str]:
    try:
        call()
    except Exception as error:
        number = getattr(error, "errno", None) or error.args[0]
        return type(error).__name__, number, str(getattr(error, "msg", None) or error.args[-1])
    raise AssertionError("no error")


def session(conn: Any, cursor: Any, table: str) -> Values:
    """Run typical statements through a DB-API connection and return all results and errors."""
    out: Values = []

    def run(text: str, values: Any = None) -> None:
        cursor.execute(text, values)
        out.append([text, cursor.rowcount, cursor.lastrowid, seen(cursor) if cursor.description else None])

    run("select 1, 'two', null, 3.50, @@autocommit")
    run("set sql_mode = 'ONLY_X'")
    run("select @@sql_mode, database()")
    run("drop table if exists " + table)
    run(TABLE.format(table))
    for row in ROWS:
        run(INSERT.format(table), row)
        conn.commit()
        run("select last_insert_id()")
    run(f"select * from {table} order by id")
    conn.commit()
    run(f"update {table} set price = price + 1 where id = 1")
    run(f"select price from {table} where id = 1")
    conn.rollback()
    run(f"select price from {table} where id = 1")
    run(f"delete from {table} where id = 2")
    conn.commit()
    run(f"select count(*), max(id) from {table}")
    run(BIG)
    run("set @a = 41")
    run("select @a + 1")
    for bad in (
        "selct 1",
        "select nope from " + table,
        "select * from nowhere",
        f"insert into {table} (id) values (1)",
    ):
        out.append(error_of(lambda bad=bad: cursor.execute(bad)))  # type: ignore[misc]
    conn.rollback()
    run(f"insert into {table} (name, price) values ('w', 'not a number')")
    run("show warnings")
    conn.commit()
    run("select name from " + table + " where name like %s and id in (1, 2, 3)", ("s%",))
    return out


def of_pymysql(target: Target) -> Values:
    host, port, user, password = target
    conn = pymysql.connect(
        host=host, port=port, user=user, password=password, database="shop", ssl_disabled=True
    )
    out = session(conn, conn.cursor(), "p")
    conn.select_db("shop")
    conn.ping(reconnect=False)
    with conn.cursor(pymysql.cursors.SSCursor) as cursor:
        cursor.execute(BIG)
        out += [cursor.fetchone(), cursor.fetchmany(3)]
    conn.close()
    out.append(error_of(lambda: pymysql.connect(host=host, port=port, user=user, password="no")))
    return out


def of_connector(target: Target, pure: bool) -> Values:
    host, port, user, password = target
    # The C library of this connector version supports only the plugin caching_sha2_password.
    user, password = "sha", "sha-secret" if password == "pw" else "front-sha"
    conn: Any = mysql.connector.connect(
        host=host, port=port, user=user, password=password, database="shop", use_pure=pure
    )
    out = session(conn, conn.cursor(), "c")
    prepared = conn.cursor(prepared=True)
    for at, row in enumerate(ROWS):
        prepared.execute(
            "insert into c (id, name, price, at, day, raw, part) values (?, ?, ?, ?, ?, ?, ?)",
            (90 + at, *row),
        )
    conn.commit()
    for at in range(3):
        prepared.execute("select id, name, price, at, day, raw, part from c where id = ?", (90 + at,))
        out.append([tuple(each[:2]) for each in prepared.description])
        out.append(prepared.fetchall())
    conn.commit()
    out.append(error_of(lambda: prepared.execute("select ? from nowhere", (1,))))
    conn.ping(reconnect=False)
    conn.reset_session()
    conn.cmd_change_user(user, password, database="shop")
    cursor = conn.cursor()
    cursor.execute("select @a, database()")
    out.append(cursor.fetchall())
    conn.close()
    return out


def of_aiomysql(target: Target) -> Values:
    host, port, user, password = target

    async def run() -> Values:
        out: Values = []
        conn = await aiomysql.connect(
            host=host, port=port, user=user, password=password, db="shop", autocommit=False
        )
        async with conn.cursor() as cursor:
            await cursor.execute("drop table if exists a")
            await cursor.execute(TABLE.format("a"))
            for row in ROWS:
                # This version of aiomysql quotes bytes in a way that fails with the installed PyMySQL.
                await cursor.execute(INSERT.format("a"), (*row[:4], None, row[5]))
                out.append((cursor.rowcount, cursor.lastrowid))
            await conn.commit()
            for text in ("select * from a order by id", BIG, "select count(*) from a"):
                await cursor.execute(text)
                out.append(
                    (cursor.rowcount, [each[:2] for each in cursor.description], await cursor.fetchall())
                )
            try:
                await cursor.execute("select nope from a")
            except Exception as error:
                out.append((type(error).__name__, error.args))
            await conn.rollback()
        conn.close()
        return out

    return asyncio.run(run())


def of_sqlalchemy(target: Target) -> Values:
    host, port, user, password = target
    engine = sa.create_engine(f"mysql+pymysql://{user}:{password}@{host}:{port}/shop", pool_size=2)
    data = sa.MetaData()
    seats = sa.Table(
        "s", data, sa.Column("id", sa.Integer, primary_key=True), sa.Column("name", sa.String(50)),
        sa.Column("price", sa.Numeric(10, 2)), sa.Column("at", sa.DateTime),
    )  # fmt: skip
    out: Values = []
    with engine.begin() as conn:
        conn.execute(sa.text("drop table if exists s"))
        conn.execute(sa.text(TABLE.format("s")))
    with engine.begin() as conn:
        for name in ("a", "b", None):
            result = conn.execute(seats.insert().values(name=name, price=Decimal("9.90"), at=WHEN))
            out.append(result.inserted_primary_key)
    with engine.connect() as conn:
        out.append(conn.execute(sa.select(seats).order_by(seats.c.id)).fetchall())
        conn.execute(seats.update().where(seats.c.id == 1).values(price=seats.c.price + 1))
        conn.rollback()
        out.append(conn.execute(sa.select(seats.c.price).where(seats.c.id == 1)).scalar())
        out.append(conn.execute(sa.text(BIG)).fetchall())
        out.append(error_of(lambda: conn.execute(sa.text("select * from nowhere")))[0])
    with engine.connect().execution_options(isolation_level="SERIALIZABLE") as conn:
        out.append(conn.execute(sa.text("select @@transaction_isolation")).scalar())
    with engine.connect() as conn:
        out.append(conn.execute(sa.text("select @@transaction_isolation")).scalar())
    engine.dispose()
    return out


CLIENTS: dict[str, Callable[[Target], Values]] = {
    "PyMySQL": of_pymysql,
    "connector, pure": lambda target: of_connector(target, True),
    "connector, C": lambda target: of_connector(target, False),
    "aiomysql": of_aiomysql,
    "SQLAlchemy": of_sqlalchemy,
}


@pytest.mark.parametrize("name", CLIENTS)
def test_through_the_sidecar_as_direct(name: str, rig: tuple[MysqlRig, Servers]) -> None:
    if name == "connector, C" and not mysql.connector.HAVE_CEXT:
        pytest.skip("the C library of mysql-connector-python does not load here")
    direct, through = (CLIENTS[name](target) for target in targets(*rig))
    assert len(direct) == len(through) > 5
    for one, other in zip(direct, through, strict=True):
        assert one == other


def test_tls_and_the_full_exchange(rig: tuple[MysqlRig, Servers], tmp_path: Path) -> None:
    host, port = rig[0].address
    context = ssl.create_default_context()
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    for how in ({"ssl": context}, {"ssl_disabled": True}):
        conn = pymysql.connect(host=host, port=port, user="sha", password="front-sha", database="shop", **how)
        with conn.cursor() as cursor:
            cursor.execute(BIG)
            assert len(cursor.fetchall()) == 20000
        conn.close()
        for secret in rig[0].sidecar.mysql.front._users.values():  # type: ignore[union-attr]
            secret.double_sha256 = b""  # without the cached hash, the next login needs the full exchange
    for pure in (True, False)[: 1 + bool(mysql.connector.HAVE_CEXT)]:
        other: Any = mysql.connector.connect(
            host=host, port=port, user="sha", password="front-sha", use_pure=pure
        )
        cursor = other.cursor()
        cursor.execute("select 1")
        assert cursor.fetchall() == [(1,)]
        other.close()


def test_tls_to_the_nodes(rig: tuple[MysqlRig, Servers], tmp_path: Path) -> None:
    certificate = Path(rig[0].folder) / "cert.pem"
    for host, works in (("localhost", True), ("elsewhere", False)):
        more = f"  node_tls: {{mode: required, ca_file: {certificate}, host: {host}}}\n"
        other = MysqlRig(tmp_path, rig[1], more)
        where, port = other.address

        def count(where: str = where, port: int = port) -> int:
            with (
                pymysql.connect(
                    host=where, port=port, user="sha", password="front-sha", database="shop", autocommit=True
                ) as conn,
                conn.cursor() as cursor,
            ):
                cursor.execute(BIG)
                return len(cursor.fetchall())

        if works:
            assert count() == 20000
            assert rig[1].do(lambda: any(peer.channel.secure for peer in rig[1].servers[0].clients.values()))
        else:
            with pytest.raises(pymysql.err.Error):
                count()
        other.end()
