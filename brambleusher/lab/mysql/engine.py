"""A small SQL engine for the MySQL test server: tables, transactions, row locks and session state.

The engine uses no sockets and no clock.  A statement that must wait for a lock raises `Blocked` before it
changes anything, and the caller runs the statement again when the lock is free.  The engine supports only the
SQL that tests and benchmarks use: SELECTs on a single table, literals and simple expressions.  Any other
statement gets the parse error that a MySQL server sends.
"""

from __future__ import annotations

import datetime as dt
import re
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from decimal import Decimal
from typing import Any

import sqlglot
from sqlglot import exp
from sqlglot.errors import SqlglotError

from brambleusher.fronts.mysql.constants import BINARY, UTF8MB4, Status, Type

MAX_CACHED_STATEMENTS = 2048  # maximum number of statement texts in the cache of syntax trees

Value = Any  # SQL value: None, int, float, Decimal, str, bytes, date, datetime, timedelta
Row = list[Value]


class SqlError(Exception):
    """An SQL error with the error number, SQLSTATE and message that the server sends to the client."""

    def __init__(self, errno: int, state: str, text: str) -> None:
        super().__init__(text)
        self.errno, self.state = errno, state


class Blocked(Exception):
    """The statement needs a lock that another session, `lock_owner`, holds."""

    def __init__(self, key: tuple[Any, ...], lock_owner: Session) -> None:
        super().__init__(str(key))
        self.key, self.lock_owner = key, lock_owner


class Sleep(Exception):
    """The statement calls SLEEP(): the caller must wait `seconds` and run the statement again.

    Before it runs the statement again, the caller increments `Session.finished_sleeps`.
    """

    def __init__(self, seconds: float) -> None:
        super().__init__(str(seconds))
        self.seconds = seconds


@dataclass(slots=True)
class ColumnInfo:
    """The name, type and properties of a column of a table or a result set."""

    name: str
    type: int = int(Type.VAR_STRING)
    auto: bool = False
    table: str = ""
    length: int = 1024


@dataclass(slots=True)
class Table:
    """A table whose rows are stored by primary key, which is the first column."""

    name: str
    columns: list[ColumnInfo]
    rows: dict[Value, Row] = field(default_factory=dict)
    # For each row with an uncommitted change: the session that made it, and the last committed row.
    uncommitted: dict[Value, tuple[Session, Row | None]] = field(default_factory=dict)
    next_id: int = 1

    def visible_rows(self, session: Session) -> Iterator[tuple[Value, Row]]:
        """Iterate over the rows visible to a session: committed rows and the session's own changes."""
        if not self.uncommitted:
            yield from list(self.rows.items())
            return
        for key in list(dict.fromkeys([*self.rows, *self.uncommitted])):
            change = self.uncommitted.get(key)
            row = self.rows.get(key) if change is None or change[0] is session else change[1]
            if row is not None:
                yield key, row


@dataclass(slots=True)
class Result:
    """The result of a statement: a result set, or the number of affected rows and the last insert id."""

    columns: list[ColumnInfo] = field(default_factory=list)
    rows: Iterable[Row] = ()
    affected: int = 0
    last_id: int = 0
    info: str = ""

    @property
    def has_rows(self) -> bool:
        """Return whether the result is a result set."""
        return bool(self.columns)


class Database:
    """The schemas, tables and locks of one server, shared by all its sessions."""

    def __init__(self, schemas: Iterable[str] = ("shop",)) -> None:
        self.schemas = set(schemas)
        self.tables: dict[tuple[str, str], Table] = {}
        self.row_locks: dict[tuple[str, str, Value], Session] = {}
        self.table_locks: dict[tuple[str, str], Session] = {}
        self.named_locks: dict[str, Session] = {}
        self.commits = 0
        self.on_unlock: Callable[[], None] = lambda: None
        self._trees: OrderedDict[str, list[Any]] = OrderedDict()

    def parse(self, text: str) -> list[Any]:
        """Return the syntax trees of the statements in a text, from the cache if possible."""
        trees = self._trees.get(text)
        if trees is None:
            source = re.sub(r"^\s*replace\s", "REPLACE_", text, flags=re.I)
            try:
                if re.match(r"\s*do\s", text, re.I):
                    trees = sqlglot.parse("SELECT" + text.lstrip()[2:], dialect="mysql")
                elif source.startswith("REPLACE_"):
                    trees = sqlglot.parse("INSERT " + source[8:], dialect="mysql")
                    trees[0].set("replace_", True)  # type: ignore[union-attr]
                else:
                    trees = sqlglot.parse(text, dialect="mysql")
            except (SqlglotError, RecursionError, AttributeError, TypeError, ValueError):
                raise _parse_error(text) from None
            trees = [tree for tree in trees if tree is not None]
            for tree in trees:
                for at, node in enumerate(tree.find_all(exp.Placeholder, bfs=False)):
                    node.meta["at"] = at  # index of the placeholder among the statement's parameters
            self._trees[text] = trees
            if len(self._trees) > MAX_CACHED_STATEMENTS:
                self._trees.popitem(last=False)
        return trees

    def table(self, schema: str, name: str) -> Table:
        """Return a table; raise `SqlError` 1146 if the table does not exist."""
        found = self.tables.get((schema, name.lower()))
        if found is None:
            raise SqlError(1146, "42S02", f"Table '{schema}.{name}' doesn't exist")
        return found

    def snapshot(self, schema: str, name: str) -> dict[Value, Row]:
        """Return the committed rows of a table by key; tests use this to check stored data."""
        table = self.table(schema, name)
        out = dict(table.rows)
        for key, (_, old) in table.uncommitted.items():
            if old is None:
                out.pop(key, None)
            else:
                out[key] = old
        return out


def _parse_error(text: str) -> SqlError:
    return SqlError(
        1064, "42000",
        "You have an error in your SQL syntax; check the manual that corresponds to your MySQL server "
        f"version for the right syntax to use near '{text[:80]}' at line 1",
    )  # fmt: skip


VARIABLES: dict[str, Value] = {
    "version": "8.0.36-stand-in", "version_comment": "stand-in",
    "sql_mode": "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES", "transaction_isolation": "REPEATABLE-READ",
    "tx_isolation": "REPEATABLE-READ", "transaction_read_only": 0, "lower_case_table_names": 0,
    "max_allowed_packet": 67108864, "autocommit": 1, "time_zone": "SYSTEM", "system_time_zone": "UTC",
    "character_set_client": "utf8mb4", "character_set_connection": "utf8mb4",
    "character_set_results": "utf8mb4", "character_set_server": "utf8mb4",
    "collation_connection": "utf8mb4_0900_ai_ci", "collation_server": "utf8mb4_0900_ai_ci",
    "wait_timeout": 28800, "interactive_timeout": 28800, "net_write_timeout": 60, "lock_wait_timeout": 50,
    "group_concat_max_len": 1024, "sql_select_limit": 2**64 - 1, "innodb_lock_wait_timeout": 50,
    "max_execution_time": 0, "foreign_key_checks": 1, "unique_checks": 1, "auto_increment_increment": 1,
}  # fmt: skip

_TYPES = {
    "INT": Type.LONG, "BIGINT": Type.LONGLONG, "SMALLINT": Type.SHORT, "TINYINT": Type.TINY,
    "DOUBLE": Type.DOUBLE, "FLOAT": Type.DOUBLE, "DECIMAL": Type.NEWDECIMAL, "DATETIME": Type.DATETIME,
    "TIMESTAMP": Type.DATETIME, "DATE": Type.DATE, "TIME": Type.TIME, "BLOB": Type.BLOB,
    "VARBINARY": Type.BLOB, "LONGBLOB": Type.BLOB,
}  # fmt: skip


def type_of(value: Value) -> int:
    """Return the MySQL column type for a Python value."""
    if isinstance(value, bool | int):
        return int(Type.LONGLONG)
    if isinstance(value, float):
        return int(Type.DOUBLE)
    if isinstance(value, Decimal):
        return int(Type.NEWDECIMAL)
    if isinstance(value, dt.datetime):
        return int(Type.DATETIME)
    if isinstance(value, dt.date):
        return int(Type.DATE)
    if isinstance(value, dt.timedelta):
        return int(Type.TIME)
    if isinstance(value, bytes):
        return int(Type.BLOB)
    return int(Type.NULL if value is None else Type.VAR_STRING)


def collation_of(kind: int) -> int:
    """Return the collation id in the column definition of a column type."""
    return UTF8MB4 if kind in (Type.VAR_STRING, Type.STRING) else BINARY


class Session:
    """A session on a database, with its variables, transaction, locks and temporary tables."""

    def __init__(self, database: Database, thread: int, user: str, now: Callable[[], dt.datetime]) -> None:
        self.database, self.thread, self.user, self._now = database, thread, user, now
        self.schema = ""
        self.reports_found_rows = False
        self.waits_for: Session | None = None
        self.finished_sleeps = 0  # number of SLEEP() calls of the current statement that are finished
        self._sleep_count = 0
        self.reset()

    def reset(self) -> None:
        """Restore the state of a new login: roll back, release all locks, reset all variables."""
        if hasattr(self, "variables"):
            self.rollback()
            self.release_table_locks()
            self.release_named_locks()
        self.variables = dict(VARIABLES)
        self.user_variables: dict[str, Value] = {}
        self.temporary: dict[tuple[str, str], Table] = {}
        self.autocommit, self.in_transaction = True, False
        self.undo: list[tuple[Table, Value]] = []
        self.locks: list[tuple[str, str, Value]] = []
        self.last_id = self.found_rows = 0
        self.row_count = -1
        self.warnings: list[tuple[str, int, str]] = []
        self.next_transaction: str | None = None

    def end(self) -> None:
        """End the session; an open transaction is rolled back and all locks are released."""
        self.reset()

    @property
    def status(self) -> int:
        """Return the status flags for OK and EOF packets."""
        return (Status.AUTOCOMMIT if self.autocommit else 0) | (Status.IN_TRANS if self.in_transaction else 0)

    # --- transactions and locks -----------------------------------------------------------------

    def commit(self) -> None:
        """Commit the transaction and release its row locks."""
        if self.undo:
            self.database.commits += 1
        for table, key in self.undo:
            table.uncommitted.pop(key, None)
        self._end_transaction()

    def rollback(self) -> None:
        """Undo the changes of the transaction and release its row locks."""
        for table, key in reversed(self.undo):
            _, old = table.uncommitted.pop(key, (self, None))
            if old is None:
                table.rows.pop(key, None)
            else:
                table.rows[key] = old
        self._end_transaction()

    def _end_transaction(self) -> None:
        self.undo, self.in_transaction = [], False
        for key in self.locks:
            self.database.row_locks.pop(key, None)
        if self.locks:
            self.locks = []
            self.database.on_unlock()

    def release_table_locks(self) -> None:
        """Execute UNLOCK TABLES: release all table locks of this session."""
        locks = self.database.table_locks
        for key in [key for key, lock_owner in locks.items() if lock_owner is self]:
            del locks[key]
        self.database.on_unlock()

    def release_named_locks(self) -> int:
        """Execute RELEASE_ALL_LOCKS(): release all named locks and return how many there were."""
        locks = self.database.named_locks
        own_keys = [key for key, lock_owner in locks.items() if lock_owner is self]
        for key in own_keys:
            del locks[key]
        if own_keys:
            self.database.on_unlock()
        return len(own_keys)

    def _wait_for(self, key: tuple[Any, ...], lock_owner: Session) -> None:
        seen, at = {self}, lock_owner
        while at.waits_for is not None:
            at = at.waits_for
            if at is self:
                self.rollback()
                raise SqlError(
                    1213, "40001", "Deadlock found when trying to get lock; try restarting transaction"
                )
            if at in seen:
                break
            seen.add(at)
        raise Blocked(key, lock_owner)

    def _lock_rows(self, table: Table, keys: Iterable[Value]) -> None:
        locks = self.database.row_locks
        keys_to_lock = [(self.schema, table.name, key) for key in keys]
        for key in keys_to_lock:
            lock_owner = locks.get(key)
            if lock_owner is not None and lock_owner is not self:
                self._wait_for(key, lock_owner)
        for key in keys_to_lock:
            if key not in locks:
                locks[key] = self
                self.locks.append(key)

    def _change(self, table: Table, key: Value, row: Row | None) -> None:
        if table.name not in {each for _, each in self.temporary} and key not in table.uncommitted:
            table.uncommitted[key] = self, table.rows.get(key)
            self.undo.append((table, key))
        if row is None:
            table.rows.pop(key, None)
        else:
            table.rows[key] = row

    # --- statements -----------------------------------------------------------------------------

    def run(self, tree: Any, parameters: list[Value]) -> Result:
        """Execute one statement; `SqlError`, `Blocked` or `Sleep` is raised before any change is made."""
        self._parameters = parameters
        self._sleep_count = 0
        is_show = isinstance(tree, exp.Show)
        result = self._dispatch(tree)
        if not is_show:
            self.warnings = [] if not getattr(self, "_warned", None) else self._warned
            self._warned: list[tuple[str, int, str]] = []
            self.row_count = -1 if result.has_rows else result.affected
        return result

    def _warn(self, errno: int, text: str) -> None:
        self._warned = [*getattr(self, "_warned", []), ("Warning", errno, text)]

    def _dispatch(self, tree: Any) -> Result:
        if isinstance(tree, exp.Select | exp.SetOperation | exp.Subquery):
            return self._select(tree)
        if isinstance(tree, exp.Insert):
            return self._run_data_change(lambda: self._insert(tree))
        if isinstance(tree, exp.Update):
            return self._run_data_change(lambda: self._update(tree))
        if isinstance(tree, exp.Delete):
            return self._run_data_change(lambda: self._delete(tree))
        if isinstance(tree, exp.Transaction):
            self.commit()
            self.in_transaction = True
            return Result()
        if isinstance(tree, exp.Commit):
            self.commit()
            self.in_transaction = bool(tree.args.get("chain"))
            return Result()
        if isinstance(tree, exp.Rollback):
            if not tree.args.get("savepoint"):
                self.rollback()
            return Result()
        if isinstance(tree, exp.Set):
            return self._set(tree)
        if isinstance(tree, exp.Use):
            return self.use(tree.this.name)
        if isinstance(tree, exp.Show):
            return self._show(tree)
        if isinstance(tree, exp.Create):
            return self._create(tree)
        if isinstance(tree, exp.Drop):
            return self._drop(tree)
        if isinstance(tree, exp.TruncateTable):
            self.commit()
            for each in tree.expressions:
                self._table(each).rows.clear()
            return Result()
        if isinstance(tree, exp.Command):
            return self._command(str(tree.this).upper(), str(tree.expression or ""))
        raise _parse_error(tree.sql(dialect="mysql"))

    def use(self, name: str) -> Result:
        """Execute USE: change the default schema."""
        if name not in self.database.schemas:
            raise SqlError(1049, "42000", f"Unknown database '{name}'")
        self.schema = name
        return Result()

    def _command(self, name: str, arguments: str) -> Result:
        if name.startswith("LOCK"):
            self.commit()
            for item in arguments.split(",") or [arguments]:
                words = item.split()
                if words:
                    table = words[0].strip("`").lower()
                    self.database.table(self.schema, table)
                    lock_owner = self.database.table_locks.get((self.schema, table))
                    if lock_owner is not None and lock_owner is not self:
                        self._wait_for((self.schema, table), lock_owner)
                    self.database.table_locks[(self.schema, table)] = self
            return Result()
        if name.startswith("UNLOCK"):
            self.release_table_locks()
            return Result()
        if name in ("SAVEPOINT", "RELEASE"):
            return Result()
        if name == "CALL":
            return self._call_procedure(arguments)
        raise _parse_error(f"{name} {arguments}")

    def _call_procedure(self, arguments: str) -> Result:
        """Execute `CALL remember('name', 'value')`, the only stored procedure: set a user variable."""
        found = re.fullmatch(r"\s*remember\s*\(\s*'(\w+)'\s*,\s*'(\w*)'\s*\)\s*", arguments)
        if found is None:
            raise SqlError(1305, "42000", f"PROCEDURE {arguments.strip()[:40]} does not exist")
        self.user_variables[found[1]] = found[2]
        return Result()

    def _run_data_change(self, change: Callable[[], Result]) -> Result:
        if not self.autocommit:
            self.in_transaction = True
        result = change()
        if not self.in_transaction:
            self.commit()
        return result

    def _table(self, node: Any) -> Table:
        node = node.this if isinstance(node, exp.Schema) else node
        name, schema = node.name.lower(), node.db or self.schema
        if not schema:
            raise SqlError(1046, "3D000", "No database selected")
        temporary = self.temporary.get((schema, name))
        if temporary is not None:
            return temporary
        lock_owner = self.database.table_locks.get((schema, name))
        if lock_owner is not None and lock_owner is not self:
            self._wait_for((schema, name), lock_owner)
        return self.database.table(schema, name)

    # --- SELECT ---------------------------------------------------------------------------------

    def _select(self, tree: Any) -> Result:
        if not isinstance(tree, exp.Select):
            raise _parse_error(tree.sql(dialect="mysql"))
        source = tree.args.get("from_") or tree.args.get("from")
        if not self.autocommit and source is not None:
            self.in_transaction = True
        into = tree.args.get("into")
        if source is None:
            columns, rows = self._project(tree.expressions, [({}, [])], None)
            self.found_rows = 1
            return self._select_into(into, rows) if into is not None else _result_set(columns, rows)
        if source.this.name.lower() == "generated":
            return self._generated(tree)
        if source.this.name.lower() == "dual":
            columns, rows = self._project(tree.expressions, [({}, [])], None)
            return _result_set(columns, rows)
        if tree.args.get("joins") or tree.args.get("group"):
            raise _parse_error(tree.sql(dialect="mysql"))
        table = self._table(source.this)
        matching = self._where(table, tree.args.get("where"))
        if tree.args.get("locks") and table.name not in {name for _, name in self.temporary}:
            self._lock_rows(table, [key for key, _ in matching])
        order_by = tree.args.get("order")
        if order_by is not None:
            for each in reversed(order_by.expressions):
                keyed = [
                    (_sortable(self._eval(each.this, self._row_environment(table, row))), at, key, row)
                    for at, (key, row) in enumerate(matching)
                ]
                keyed.sort(key=lambda entry: entry[0], reverse=bool(each.args.get("desc")))
                matching = [(key, row) for _, _, key, row in keyed]
        self.found_rows = len(matching)
        limit, offset = tree.args.get("limit"), tree.args.get("offset")
        skip = int(self._eval(offset.expression, {})) if offset is not None else 0
        max_rows = int(self._eval(limit.expression, {})) if limit is not None else len(matching)
        page = matching[skip : skip + max_rows]
        columns, rows = self._project(
            tree.expressions, [(self._row_environment(table, row), row) for _, row in page], table
        )
        out = list(rows)
        return self._select_into(into, out) if into is not None else _result_set(columns, out)

    def _select_into(self, into: Any, rows: list[Row]) -> Result:
        names = [node.name.lower() for node in into.find_all(exp.Parameter)]
        if rows:
            self.user_variables.update(zip(names, rows[0], strict=False))
        return Result(affected=len(rows))

    def _generated(self, tree: Any) -> Result:
        """Generate `n` rows with a pad column of `width` characters, without a stored table.

        Example: `SELECT * FROM generated WHERE n = 1000 AND width = 100`.
        """
        given = {}
        where = tree.args.get("where")
        for node in where.find_all(exp.EQ) if where is not None else ():
            given[node.this.name.lower()] = int(self._eval(node.expression, {}))
        count, width = given.get("n", 1), given.get("width", 10)
        columns = [
            ColumnInfo("id", int(Type.LONGLONG)),
            ColumnInfo("pad", int(Type.VAR_STRING), length=width * 4),
        ]
        self.found_rows = count
        pad = "x" * width
        return Result(columns, ([at, pad] for at in range(count)))

    def _row_environment(self, table: Table, row: Row) -> dict[str, Value]:
        return {column.name.lower(): value for column, value in zip(table.columns, row, strict=True)}

    def _where(self, table: Table, where: Any) -> list[tuple[Value, Row]]:
        if where is None:
            return list(table.visible_rows(self))
        test = where.this
        by_key = isinstance(test, exp.EQ) and isinstance(test.this, exp.Column)
        if by_key and test.this.name.lower() == table.columns[0].name.lower():
            key = _convert_to_key(self._eval(test.expression, {}), table)
            change = table.uncommitted.get(key)
            row = table.rows.get(key) if change is None or change[0] is self else change[1]
            return [] if row is None else [(key, row)]
        out = []
        for key, row in table.visible_rows(self):
            if self._eval(test, self._row_environment(table, row)):
                out.append((key, row))
        return out

    def _project(
        self, expressions: list[Any], rows: list[tuple[dict[str, Value], Row]], table: Table | None
    ) -> tuple[list[ColumnInfo], list[Row]]:
        if any(each.find(exp.AggFunc) for each in expressions):
            values = [self._aggregate(each, rows) for each in expressions]
            return [
                ColumnInfo(_column_name(each), type_of(value))
                for each, value in zip(expressions, values, strict=True)
            ], [values]
        columns: list[ColumnInfo] = []
        for each in expressions:
            if isinstance(each, exp.Star):
                assert table is not None
                columns += [
                    ColumnInfo(c.name, c.type, table=table.name, length=c.length) for c in table.columns
                ]
                continue
            inner = each.this if isinstance(each, exp.Alias) else each
            known = None
            if isinstance(inner, exp.Column) and table is not None:
                known = next((c for c in table.columns if c.name.lower() == inner.name.lower()), None)
                if known is None:
                    raise SqlError(1054, "42S22", f"Unknown column '{inner.name}' in 'field list'")
            columns.append(
                ColumnInfo(_column_name(each), known.type if known else -1, table=table.name if table else "")
            )

        out = []
        for environment, row in rows:
            values = []
            for expression in expressions:
                if isinstance(expression, exp.Star):
                    values += row
                else:
                    values.append(self._eval(expression, environment))
            out.append(values)
        return columns, out

    def _aggregate(self, node: Any, rows: list[tuple[dict[str, Value], Row]]) -> Value:
        inner = node.this if isinstance(node, exp.Alias) else node
        if isinstance(inner, exp.Count):
            if isinstance(inner.this, exp.Star):
                return len(rows)
            return sum(self._eval(inner.this, environment) is not None for environment, _ in rows)
        if isinstance(inner, exp.Sum | exp.Max | exp.Min | exp.Avg):
            values = [
                value for environment, _ in rows if (value := self._eval(inner.this, environment)) is not None
            ]
            if not values:
                return None
            if isinstance(inner, exp.Sum):
                return sum(values[1:], values[0])
            if isinstance(inner, exp.Avg):
                return Decimal(sum(values[1:], values[0])) / len(values)
            return (max if isinstance(inner, exp.Max) else min)(values)
        if isinstance(inner, exp.Coalesce):
            parts = [self._aggregate(inner.this, rows), *[self._eval(e, {}) for e in inner.expressions]]
            return next((item for item in parts if item is not None), None)
        return self._eval(inner, rows[0][0] if rows else {})

    # --- changes --------------------------------------------------------------------------------

    def _insert(self, tree: Any) -> Result:
        target = tree.this
        table = self._table(target)
        names = (
            [each.name.lower() for each in target.expressions]
            if isinstance(target, exp.Schema)
            else [column.name.lower() for column in table.columns]
        )
        source = tree.expression
        if isinstance(source, exp.Values):
            given = [[self._eval(value, {}) for value in each.expressions] for each in source.expressions]
        else:
            given = [list(row) for row in self._select(source).rows]
        rows: list[tuple[Value, Row]] = []
        first_id: int = 0
        for values in given:
            if len(values) != len(names):
                raise SqlError(1136, "21S01", "Column count doesn't match value count at row 1")
            by_name = dict(zip(names, values, strict=True))
            row = [
                self._convert_to_column(column, by_name.get(column.name.lower())) for column in table.columns
            ]
            unknown = set(names) - {column.name.lower() for column in table.columns}
            if unknown:
                raise SqlError(1054, "42S22", f"Unknown column '{min(unknown)}' in 'field list'")
            if table.columns[0].auto and row[0] is None:
                fresh_id = table.next_id + len(rows)
                row[0], first_id = fresh_id, first_id or fresh_id
            rows.append((row[0], row))
        replaces = bool(tree.args.get("replace_"))
        self._lock_rows(table, [key for key, _ in rows])
        seen: set[Value] = set()
        for key, _ in rows:
            if not replaces and (key in table.rows or key in seen):
                raise SqlError(1062, "23000", f"Duplicate entry '{key}' for key '{table.name}.PRIMARY'")
            seen.add(key)
        for key, row in rows:
            self._change(table, key, row)
            if table.columns[0].auto and isinstance(key, int):
                table.next_id = max(table.next_id, key + 1)
        if first_id:
            self.last_id = first_id
        return Result(affected=len(rows), last_id=first_id)

    def _convert_to_column(self, column: ColumnInfo, value: Value) -> Value:
        """Convert a value to the type of its column; add a warning if this is impossible."""
        if value is None or column.type in (Type.VAR_STRING, Type.BLOB):
            if column.type == Type.BLOB and isinstance(value, str):
                return value.encode("utf-8", "surrogateescape")
            if column.type == Type.VAR_STRING and value is not None and not isinstance(value, str):
                return value.decode("utf-8", "replace") if isinstance(value, bytes) else str(value)
            return value
        try:
            if column.type in (Type.LONG, Type.LONGLONG, Type.SHORT, Type.TINY):
                return int(value)
            if column.type == Type.DOUBLE:
                return float(value)
            if column.type == Type.NEWDECIMAL:
                return Decimal(str(value)).quantize(Decimal("0.01"))
            if column.type == Type.DATETIME and isinstance(value, str):
                return dt.datetime.fromisoformat(value)
            if column.type == Type.DATE and isinstance(value, str):
                return dt.date(*(int(item) for item in value.split(" ")[0].split("-")))
        except (ValueError, ArithmeticError):
            self._warn(1366, f"Incorrect value: '{value}' for column '{column.name}'")
            return None if column.type == Type.DATETIME else 0
        return value

    def _update(self, tree: Any) -> Result:
        table = self._table(tree.this)
        sets = [(each.this.name.lower(), each.expression) for each in tree.expressions]
        matching = self._where(table, tree.args.get("where"))
        self._lock_rows(table, [key for key, _ in matching])
        column_indexes = {
            column.name.lower(): column_index for column_index, column in enumerate(table.columns)
        }
        changed = 0
        for key, row in matching:
            fresh = list(row)
            environment = self._row_environment(table, row)
            for name, expression in sets:
                if name not in column_indexes:
                    raise SqlError(1054, "42S22", f"Unknown column '{name}' in 'field list'")
                column_index = column_indexes[name]
                fresh[column_index] = self._convert_to_column(
                    table.columns[column_index], self._eval(expression, environment)
                )
            changed += fresh != row
            self._change(table, key, fresh)
        info = f"Rows matched: {len(matching)}  Changed: {changed}  Warnings: 0"
        affected = len(matching) if self.reports_found_rows else changed
        return Result(affected=affected, info=info)

    def _delete(self, tree: Any) -> Result:
        table = self._table(tree.this)
        matching = self._where(table, tree.args.get("where"))
        self._lock_rows(table, [key for key, _ in matching])
        for key, _ in matching:
            self._change(table, key, None)
        return Result(affected=len(matching))

    def _create(self, tree: Any) -> Result:
        schema_node = tree.this
        if str(tree.args.get("kind")).upper() != "TABLE" or not isinstance(schema_node, exp.Schema):
            raise _parse_error(tree.sql(dialect="mysql"))
        temporary = "TEMPORARY" in tree.sql(dialect="mysql").upper().split("TABLE", 1)[0]
        node = schema_node.this
        schema, name = node.db or self.schema, node.name.lower()
        if not schema:
            raise SqlError(1046, "3D000", "No database selected")
        where = self.temporary if temporary else self.database.tables
        if not temporary:
            self.commit()
        if (schema, name) in where:
            if tree.args.get("exists"):
                return Result()
            raise SqlError(1050, "42S01", f"Table '{name}' already exists")
        columns = []
        for each in schema_node.expressions:
            if isinstance(each, exp.ColumnDef):
                kind = each.args["kind"].sql(dialect="mysql").split("(")[0].upper()
                auto = "AUTO_INCREMENT" in each.sql(dialect="mysql").upper()
                columns.append(ColumnInfo(each.name, int(_TYPES.get(kind, Type.VAR_STRING)), auto, name))
        where[(schema, name)] = Table(name, columns)
        return Result()

    def _drop(self, tree: Any) -> Result:
        temporary_only = bool(tree.args.get("temporary"))
        if not temporary_only:
            self.commit()
        named = tree.args.get("tables") or [tree.this]
        for node in named:
            key = (node.db or self.schema, node.name.lower())
            if key in self.temporary:
                del self.temporary[key]
            elif key in self.database.tables and not temporary_only:
                del self.database.tables[key]
            elif not tree.args.get("exists"):
                raise SqlError(1051, "42S02", f"Unknown table '{key[0]}.{key[1]}'")
        return Result()

    # --- SET and SHOW ---------------------------------------------------------------------------

    def _set(self, tree: Any) -> Result:
        found: list[tuple[str, Value]] = []
        for item in tree.expressions:
            kind = str(item.args.get("kind") or "").upper()
            if kind in ("NAMES", "CHARACTER SET"):
                name = str(item.this.name if hasattr(item.this, "name") else item.this).strip("'\"").lower()
                if name not in ("utf8mb4", "utf8", "utf8mb3", "latin1", "binary", "ascii"):
                    raise SqlError(1115, "42000", f"Unknown character set: '{name}'")
                found.append(("names", name))
                continue
            if kind == "TRANSACTION":
                text = " ".join(each.sql(dialect="mysql") for each in item.expressions).upper()
                if "ISOLATION" in text:
                    level = text.split("LEVEL", 1)[1].strip().replace(" ", "-")
                    found.append(("transaction_isolation", level))
                continue
            if kind in ("GLOBAL", "PERSIST"):
                continue
            pair = item.this
            if not isinstance(pair, exp.EQ | exp.PropertyEQ):
                raise _parse_error(tree.sql(dialect="mysql"))
            left, value = pair.this, pair.expression
            if isinstance(left, exp.Parameter):
                found.append(("@" + left.name.lower(), self._eval(value, {})))
                continue
            name = left.name.lower().rsplit(".", 1)[-1]
            if name not in self.variables and name not in ("last_insert_id", "identity", "insert_id"):
                raise SqlError(1193, "HY000", f"Unknown system variable '{name}'")
            if isinstance(value, exp.Column | exp.Var | exp.Boolean):
                text_value = value.name if not isinstance(value, exp.Boolean) else str(value.this)
                found.append((name, VARIABLES.get(name) if text_value.upper() == "DEFAULT" else text_value))
            else:
                found.append((name, self._eval(value, {})))
        for name, value in found:
            self._assign(name, value)
        return Result()

    def _assign(self, name: str, value: Value) -> None:
        if name.startswith("@"):
            self.user_variables[name[1:]] = value
        elif name == "names":
            for each in ("client", "connection", "results"):
                self.variables[f"character_set_{each}"] = value
        elif name == "autocommit":
            on = str(value).lower() in ("1", "on", "true")
            if on and not self.autocommit:
                self.commit()
            self.autocommit = on
            self.variables["autocommit"] = int(on)
        elif name in ("last_insert_id", "identity"):
            self.last_id = int(value)
        else:
            self.variables[name] = value

    def _show(self, tree: Any) -> Result:
        what = str(tree.this).upper()
        if what in ("WARNINGS", "ERRORS"):
            columns = [ColumnInfo("Level"), ColumnInfo("Code", int(Type.LONG)), ColumnInfo("Message")]
            return Result(columns, [list(each) for each in self.warnings])
        if what == "VARIABLES":
            like = tree.args.get("like")
            pattern = str(like.name if hasattr(like, "name") else like or "%").strip("'")
            expression = re.compile(re.escape(pattern).replace("%", ".*").replace("_", "."), re.I)
            rows = [[k, str(v)] for k, v in sorted(self.variables.items()) if expression.fullmatch(k)]
            return Result([ColumnInfo("Variable_name"), ColumnInfo("Value")], rows)
        if what == "TABLES":
            names = sorted(name for schema, name in self.database.tables if schema == self.schema)
            return Result([ColumnInfo(f"Tables_in_{self.schema}")], [[name] for name in names])
        if what == "DATABASES":
            return Result([ColumnInfo("Database")], [[name] for name in sorted(self.database.schemas)])
        raise _parse_error("SHOW " + what)

    # --- expressions ----------------------------------------------------------------------------

    def _eval(self, node: Any, environment: dict[str, Value], without_effects: bool = False) -> Value:
        kind = type(node)
        operator = _BINARY_OPERATORS.get(kind)
        if operator is not None:
            return operator(
                self._eval(node.this, environment, without_effects),
                self._eval(node.expression, environment, without_effects),
            )
        if kind is exp.Literal:
            if node.is_string:
                return node.this
            return int(node.this) if node.this.isdigit() else Decimal(node.this)
        if kind is exp.Column:
            name = node.name.lower()
            if name in environment:
                return environment[name]
            if name in ("on", "off"):
                return name.upper()
            raise SqlError(1054, "42S22", f"Unknown column '{node.name}' in 'where clause'")
        if kind is exp.Placeholder:
            at = node.meta["at"]
            if at >= len(self._parameters):
                raise SqlError(1210, "HY000", "Incorrect arguments to EXECUTE")
            return self._parameters[at]
        if kind is exp.Parameter:
            return self.user_variables.get(node.name.lower())
        if kind is exp.SessionParameter:
            return self._variable(node.name.lower())
        if kind is exp.PropertyEQ:
            value = self._eval(node.expression, environment, without_effects)
            if not without_effects:
                self.user_variables[node.this.name.lower()] = value
            return value
        return self._eval_special_form(node, environment, without_effects)

    def _variable(self, name: str) -> Value:
        if name == "autocommit":
            return int(self.autocommit)
        if name in ("last_insert_id", "identity"):
            return self.last_id
        if name == "warning_count":
            return len(self.warnings)
        if name not in self.variables:
            raise SqlError(1193, "HY000", f"Unknown system variable '{name}'")
        return self.variables[name]

    def _eval_special_form(self, node: Any, environment: dict[str, Value], without_effects: bool) -> Value:
        kind = type(node)

        def inner() -> Value:
            return self._eval(node.this, environment, without_effects)

        if kind in (exp.Alias, exp.Paren):
            return inner()
        if kind is exp.Null:
            return None
        if kind is exp.Boolean:
            return int(bool(node.this))
        if kind is exp.Neg:
            value = inner()
            return None if value is None else -value
        if kind is exp.Not:
            value = inner()
            return None if value is None else int(not value)
        if kind is exp.And:
            return int(bool(inner()) and bool(self._eval(node.expression, environment, without_effects)))
        if kind is exp.Or:
            return int(bool(inner()) or bool(self._eval(node.expression, environment, without_effects)))
        if kind is exp.Is:
            return int(inner() is self._eval(node.expression, environment, without_effects))
        if kind is exp.In:
            return int(
                inner() in [self._eval(each, environment, without_effects) for each in node.expressions]
            )
        if kind is exp.Between:
            return int(
                self._eval(node.args["low"], environment, without_effects)
                <= inner()
                <= self._eval(node.args["high"], environment, without_effects)
            )
        if kind is exp.Like:
            pattern = (
                re.escape(str(self._eval(node.expression, environment, without_effects)))
                .replace("%", ".*")
                .replace("_", ".")
            )
            return int(re.fullmatch(pattern, str(inner()), re.I | re.S) is not None)
        if kind in (exp.Cast, exp.Convert) if hasattr(exp, "Convert") else kind is exp.Cast:
            value, to = inner(), node.args["to"].sql(dialect="mysql").upper()
            if value is None:
                return None
            if to.startswith(("CHAR", "VARCHAR", "TEXT", "NCHAR")):
                return value.decode() if isinstance(value, bytes) else str(value)
            return (
                int(value) if "SIGNED" in to or "INT" in to else Decimal(str(value)) if "DEC" in to else value
            )
        if kind is exp.Introducer:
            value = self._eval(node.expression, environment, without_effects)
            return value.encode("utf-8", "surrogateescape") if isinstance(value, str) else value
        if kind is exp.HexString:
            return bytes.fromhex(node.this)
        if kind is exp.Concat:
            parts = [self._eval(each, environment, without_effects) for each in node.expressions]
            return None if None in parts else "".join(map(str, parts))
        if kind is exp.Repeat:
            return str(inner()) * int(self._eval(node.args["times"], environment, without_effects))
        if kind is exp.Length:
            value = inner()
            return None if value is None else len(value if isinstance(value, bytes) else str(value).encode())
        if kind is exp.Coalesce:
            values = [inner(), *[self._eval(each, environment, without_effects) for each in node.expressions]]
            return next((value for value in values if value is not None), None)
        if kind in (exp.Upper, exp.Lower):
            text = str(inner())
            return text.upper() if kind is exp.Upper else text.lower()
        if kind is exp.CurrentTimestamp:
            return self._now()
        if (
            kind in (exp.CurrentUser, exp.SessionUser)
            if hasattr(exp, "SessionUser")
            else kind is exp.CurrentUser
        ):
            return f"{self.user}@%"
        name = node.name if kind is exp.Anonymous else node.sql_name() if isinstance(node, exp.Func) else ""
        return self._function(str(name).lower(), node, environment, without_effects)

    def _function(self, name: str, node: Any, environment: dict[str, Value], without_effects: bool) -> Value:
        given = (
            [self._eval(each, environment, without_effects) for each in node.expressions]
            if node.expressions
            else []
        )
        if name == "sleep":
            self._sleep_count += 1
            if self._sleep_count > self.finished_sleeps and not without_effects:
                raise Sleep(float(given[0] if given else self._eval(node.this, environment, without_effects)))
            return 0
        if name == "last_insert_id":
            if given:
                if not without_effects:
                    self.last_id = int(given[0])
                return int(given[0])
            return self.last_id
        if name == "connection_id":
            return self.thread
        if name in ("database", "schema", "current_schema", "current_database"):
            return self.schema or None
        if name in ("version", "current_version"):
            return self.variables["version"]
        if name == "user":
            return f"{self.user}@localhost"
        if name == "row_count":
            return self.row_count
        if name == "found_rows":
            return self.found_rows
        if name == "get_lock":
            key = str(given[0]).lower()
            lock_owner = self.database.named_locks.get(key)
            if lock_owner is not None and lock_owner is not self:
                return 0
            self.database.named_locks[key] = self
            return 1
        if name == "release_lock":
            key = str(given[0]).lower()
            if self.database.named_locks.get(key) is not self:
                return None if key not in self.database.named_locks else 0
            del self.database.named_locks[key]
            self.database.on_unlock()
            return 1
        if name == "release_all_locks":
            return self.release_named_locks()
        if name == "is_free_lock":
            return int(str(given[0]).lower() not in self.database.named_locks)
        if name == "charset":
            return "utf8mb4"
        raise SqlError(1305, "42000", f"FUNCTION {self.schema}.{name} does not exist")


def _binary_operator(operation: Callable[[Any, Any], Value]) -> Callable[[Any, Any], Value]:
    def run(left: Any, right: Any) -> Value:
        if left is None or right is None:
            return None
        if type(left) is not type(right):
            left, right = _to_common_type(left, right)
        return operation(left, right)

    return run


def _to_common_type(left: Any, right: Any) -> tuple[Any, Any]:
    """Convert two operands to a common type, as MySQL does for comparison and arithmetic."""
    numbers = (int, float, Decimal)
    if isinstance(left, str) and isinstance(right, numbers):
        return _number(left), right
    if isinstance(right, str) and isinstance(left, numbers):
        return left, _number(right)
    if isinstance(left, float) and isinstance(right, Decimal):
        return left, float(right)
    if isinstance(right, float) and isinstance(left, Decimal):
        return float(left), right
    if isinstance(left, bytes) and isinstance(right, str):
        return left, right.encode("utf-8", "surrogateescape")
    if isinstance(right, bytes) and isinstance(left, str):
        return left.encode("utf-8", "surrogateescape"), right
    if isinstance(left, dt.datetime) and isinstance(right, str):
        return left, dt.datetime.fromisoformat(right)
    return left, right


def _number(text: str) -> Decimal:
    found = re.match(r"\s*[-+]?[0-9]*\.?[0-9]+", text)
    return Decimal(found[0].strip()) if found else Decimal(0)


_BINARY_OPERATORS: dict[type, Callable[[Any, Any], Value]] = {
    exp.Add: _binary_operator(lambda a, b: a + b),
    exp.Sub: _binary_operator(lambda a, b: a - b),
    exp.Mul: _binary_operator(lambda a, b: a * b),
    exp.Div: _binary_operator(lambda a, b: None if not b else Decimal(a) / Decimal(b)),
    exp.Mod: _binary_operator(lambda a, b: a % b if b else None),
    exp.EQ: _binary_operator(lambda a, b: int(a == b)),
    exp.NEQ: _binary_operator(lambda a, b: int(a != b)),
    exp.LT: _binary_operator(lambda a, b: int(a < b)),
    exp.LTE: _binary_operator(lambda a, b: int(a <= b)),
    exp.GT: _binary_operator(lambda a, b: int(a > b)),
    exp.GTE: _binary_operator(lambda a, b: int(a >= b)),
}


def _column_name(node: Any) -> str:
    if isinstance(node, exp.Alias):
        return str(node.alias)
    if isinstance(node, exp.Column):
        return str(node.name)
    return str(node.sql(dialect="mysql"))[:255]


def _sortable(value: Value) -> tuple[int, Any]:
    return (0, 0) if value is None else (1, value)


def _convert_to_key(value: Value, table: Table) -> Value:
    kind = table.columns[0].type
    if kind in (Type.LONG, Type.LONGLONG, Type.SHORT, Type.TINY) and not isinstance(value, int):
        return int(_number(str(value))) if value is not None else None
    if kind == Type.VAR_STRING and value is not None and not isinstance(value, str):
        return value.decode() if isinstance(value, bytes) else str(value)
    return value


def _result_set(columns: list[ColumnInfo], rows: list[Row]) -> Result:
    """Build a result set; a column of unknown type (-1) gets the type of its first value that is not NULL."""
    for at, column in enumerate(columns):
        if column.type == -1:
            column.type = next(
                (type_of(row[at]) for row in rows if row[at] is not None), int(Type.VAR_STRING)
            )
    return Result(columns, rows)
