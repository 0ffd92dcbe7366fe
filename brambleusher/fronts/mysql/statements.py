"""Classifies statements: their effects on the session, and whether they are plain reads.

A statement is first reduced to a digest, which is independent of literals, comments and whitespace.  The
classification of a digest by sqlglot is cached, up to a limit, so that each digest is parsed once.  Any
statement that can't be classified with certainty is `UNKNOWN`: it is never retried and pins its session.
"""

from __future__ import annotations

import logging
import re
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

MAX_TEXT = 64 * 1024  # size in bytes above which a text is classified by its first word and a few patterns
MAX_STATEMENTS = 32  # maximum number of statements in one text; a text with more is `UNKNOWN`
# Maximum number of cached digests, and maximum length in characters of a digest that is cached.
CACHED_DIGESTS, CACHED_DIGEST_LENGTH = 4096, 4096
# Maximum number of cached texts, and maximum size in bytes of a text that is cached.
CACHED_TEXTS, CACHED_TEXT_BYTES = 2048, 1024

log = logging.getLogger(__name__)


class StatementKind(Enum):
    """The category of a statement."""

    READ = "read"
    WRITE = "write"
    DEFINE = "define"  # DDL or administration, which commits an open transaction implicitly
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SET = "set"
    USE = "use"
    KILL = "kill"
    LOCK = "lock"
    UNLOCK = "unlock"
    LOCAL_FILE = "local file"
    EMPTY = "empty"
    UNKNOWN = "unknown"


class PinReason(Enum):
    """The reasons to pin a session to one connection; `session.PIN_RULES` describes each of them."""

    TRANSACTION = "open transaction"
    AUTOCOMMIT_OFF = "autocommit off"
    TABLE_LOCKS = "locked tables"
    NAMED_LOCK = "named lock"
    TEMPORARY_TABLE = "temporary table"
    USER_VARIABLE = "user variable"
    SETTING = "setting that can't be replayed"
    NEXT_TRANSACTION = "setting of the next transaction"
    PREPARED = "statement prepared in SQL"
    UNREAD = "rows not fetched"
    DIAGNOSTICS = "warnings not asked for"
    UNKNOWN = "statement with unknown effects"


@dataclass(frozen=True, slots=True)
class Hint:
    """Request parameters from a hint comment in a statement."""

    request_class: str | None = None
    tenant: str | None = None
    deadline_ms: int | None = None
    work_us: int | None = None


@dataclass(frozen=True, slots=True)
class Statement:
    """Classification of one text from a client, which may contain several statements."""

    kind: StatementKind
    digest: str
    plain_read: bool = False  # a retry has no side effects
    pins: tuple[tuple[PinReason, str], ...] = ()  # pins that the statement adds, with an object name
    # Pins that the statement removes; an empty name removes all pins of that reason.
    unpins: tuple[tuple[PinReason, str], ...] = ()
    settings: tuple[tuple[str, str], ...] = ()  # settings to replay, as a key and the text after SET
    autocommit: bool | None = None
    schema: str | None = None
    kill: tuple[bool, int] | None = None  # whether KILL is limited to the query, and the thread id
    depends_on_previous: bool = False  # depends on the previous statement, as SHOW WARNINGS does
    reads_last_id: bool = False
    sets_last_id: bool = False
    opaque_after: bool = False  # later texts of the session can't be tokenized byte by byte
    chain: bool = False
    release: bool = False
    count: int = 1
    may_restart_transaction: bool = False  # may end a transaction and begin another
    hint: Hint | None = None
    unknown_reason: str = ""  # the reason why the statement is `UNKNOWN`


# --- tokenizer ----------------------------------------------------------------------------------

_TOKENS = re.compile(
    rb"""
      (?P<string>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")
    | (?P<quoted>`(?:[^`]|``)*`)
    | (?P<comment>/\*.*?\*/|--(?=[\x00-\x20]|\Z)[^\n]*|\#[^\n]*)
    | (?P<number>(?:0[xX][0-9A-Fa-f]+|[0-9]+(?:\.[0-9]*)?(?:[eE][+-]?[0-9]+)?|\.[0-9]+)(?![\w$\x80-\xff]))
    | (?P<variable>@@?(?:[\w$\x80-\xff][\w$.\x80-\xff]*|`(?:[^`]|``)*`
        |'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"))
    | (?P<word>[\w$\x80-\xff]+)
    | (?P<space>[\x00-\x20]+)
    | (?P<sign>:=|<=>|<<|>>|<>|!=|<=|>=|\|\||&&|->>|->|.)
    """,
    re.X | re.S,
)
_HINT = re.compile(rb"/\*\s*brambleusher:(.*)\*/\Z", re.S)
_LITERAL_LISTS = re.compile(r"\?(?:, \?)+")
_ROW_LISTS = re.compile(r"(\(\?\+?\))(?:, \(\?\+?\))+")
_SINGLE_LITERAL_LIST = re.compile(r"\b(in|values|value) \(\?\)")
Token = tuple[str, bytes]  # name of the token's group in the pattern, and the token's bytes


def tokenize(text: bytes) -> tuple[list[Token], list[bytes], bool]:
    """Split a text into tokens and comments; the last value tells whether the tokens are reliable."""
    out: list[Token] = []
    comments: list[bytes] = []
    reliable = True
    for match in _TOKENS.finditer(text):
        kind = match.lastgroup or ""
        if kind == "space":
            continue
        token = match[0]
        if kind == "comment":
            comments.append(token)
            # The server executes the contents of these comments, so they are part of the statement.
            reliable &= not token.startswith((b"/*!", b"/*M!"))
            continue
        if kind == "sign" and token in b"'\"`":
            reliable = False  # the quote is not closed
        out.append((kind, token))
    for at in range(len(out) - 1):
        if out[at][1] == b"/" and out[at + 1][1] == b"*":
            reliable = False  # the comment is not closed
    return out, comments, reliable


def build_digest(tokens: Iterable[Token]) -> str:
    """Build a digest: literals are replaced, whitespace is normalized, lists of literals are collapsed."""
    out = []
    for kind, token in tokens:
        if kind in ("string", "number"):
            out.append("?")
        elif kind in ("word", "variable"):
            out.append(token.decode("utf-8", "replace").lower())
        else:
            out.append(token.decode("utf-8", "replace"))
    text = " ".join(out)
    text = text.replace(" , ", ", ").replace("( ", "(").replace(" )", ")").replace(" . ", ".")
    return _SINGLE_LITERAL_LIST.sub(r"\1 (?+)", _ROW_LISTS.sub(r"\1", _LITERAL_LISTS.sub("?+", text)))


def parse_hint(comments: Iterable[bytes]) -> Hint | None:
    """Parse the first hint comment, `/* brambleusher: class=… tenant=… deadline_ms=… work_us=… */`.

    Malformed parts of a hint are ignored.
    """
    for comment in comments:
        match = _HINT.match(comment)
        if match is None:
            continue
        options = dict(
            pair.split("=", 1) for pair in match[1].decode("utf-8", "replace").split() if "=" in pair
        )

        def number(name: str, options: dict[str, str] = options) -> int | None:
            value = options.get(name, "")
            return int(value) if re.fullmatch(r"[0-9]{1,9}", value) else None

        return Hint(
            options.get("class") or None,
            options.get("tenant") or None,
            number("deadline_ms"),
            number("work_us"),
        )
    return None


# --- classification of one statement ------------------------------------------------------------


def _name_set(text: str) -> frozenset[str]:
    return frozenset(text.split())


_DDL_WORDS = _name_set(
    "create drop alter truncate rename grant revoke analyze optimize repair check checksum reset purge"
    " install uninstall flush import cache stop start_replica change"
)
# Built-in functions without side effects whose result does not depend on earlier statements.  A function that
# is missing here may be a stored function.
_PURE_FUNCTIONS = _name_set(
    """abs acos adddate addtime aes_decrypt aes_encrypt any_value ascii asin atan atan2 avg bin
    bin_to_uuid bit_and bit_count bit_length bit_or bit_xor cast ceil ceiling char char_length
    character_length charset coalesce coercibility collation compress concat concat_ws connection_id conv
    convert convert_tz cos cot count crc32 cume_dist curdate current_date current_time current_timestamp
    current_user current_role curtime database date date_add date_format date_sub datediff day dayname
    dayofmonth dayofweek dayofyear default degrees dense_rank div elt exists exp export_set extract
    extractvalue field find_in_set first_value floor format format_bytes from_base64 from_days
    from_unixtime geomcollection geometrycollection get_format greatest group_concat grouping hex hour
    icu_version if ifnull in inet6_aton inet6_ntoa inet_aton inet_ntoa insert instr interval is_ipv4
    is_ipv6 is_uuid isnull json_array json_array_append json_array_insert json_arrayagg json_contains
    json_contains_path json_depth json_extract json_insert json_keys json_length json_merge
    json_merge_patch json_merge_preserve json_object json_objectagg json_overlaps json_pretty json_quote
    json_remove json_replace json_search json_set json_storage_size json_table json_type json_unquote
    json_valid json_value lag last_day last_value lcase lead least left length linestring ln localtime
    localtimestamp locate log log10 log2 lower lpad ltrim make_set makedate maketime max md5 member
    microsecond mid min minute mod month monthname multilinestring multipoint multipolygon not now
    nth_value ntile nullif oct octet_length ord percent_rank period_add period_diff pi point polygon
    position pow power quarter quote radians rand random_bytes rank regexp_instr regexp_like
    regexp_replace regexp_substr repeat replace reverse right round row row_number rpad rtrim schema
    sec_to_time second session_user sha sha1 sha2 sign sin soundex space sqrt st_area st_asgeojson
    st_astext st_contains st_distance st_distance_sphere st_geomfromtext st_intersects st_within st_x
    st_y std stddev stddev_pop stddev_samp str_to_date strcmp subdate substr substring substring_index
    subtime sum sysdate system_user tan time time_format time_to_sec timediff timestamp timestampadd
    timestampdiff to_base64 to_days to_seconds trim truncate ucase uncompress uncompressed_length unhex
    unix_timestamp updatexml upper user utc_date utc_time utc_timestamp uuid uuid_short uuid_to_bin
    validate_password_strength values var_pop var_samp variance version week weekday weekofyear
    weight_string year yearweek"""
)
_PREVIOUS_STATEMENT_FUNCTIONS = frozenset({"row_count", "found_rows"})
_NEVER_REPLAYED = _name_set(
    "insert_id last_insert_id identity timestamp rand_seed1 rand_seed2 pseudo_thread_id pseudo_slave_mode"
    " pseudo_replica_mode gtid_next sql_log_bin session_track_gtids debug proxy_user external_user"
)
_NEXT_TRANSACTION_VARIABLES = frozenset(
    {"transaction_isolation", "transaction_read_only", "tx_isolation", "tx_read_only"}
)
_OPAQUE_MODES = ("ansi", "no_backslash_escapes")
_OPAQUE_CHARSETS = _name_set("big5 sjis gbk gb2312 cp932 gb18030 euckr eucjpms ujis")
_SCOPES = frozenset({"global", "persist", "persist_only", "session", "local"})
_ON, _OFF = frozenset({"1", "on", "true"}), frozenset({"0", "off", "false"})


def _plain_name(token: bytes) -> str:
    """Return a word or quoted name in lower case, without its quotes."""
    text = token.decode("utf-8", "replace")
    if text[:1] == "`":
        text = text[1:-1].replace("``", "`")
    return text.lower()


def _unquoted(token: bytes) -> str:
    text = token.decode("utf-8", "surrogateescape")
    if text[:1] not in "'\"":
        return text
    quote = text[0]
    return re.sub(r"\\(.)", r"\1", text[1:-1].replace(quote * 2, quote), flags=re.S)


class _Classifier:
    """Classifies one statement by its tokens."""

    def __init__(self, tokens: list[Token], digest: str) -> None:
        self.tokens, self.digest = tokens, digest
        self.names = [
            _plain_name(token) if kind in ("word", "quoted", "variable") else "" for kind, token in tokens
        ]

    def unknown(self, unknown_reason: str) -> Statement:
        return Statement(
            StatementKind.UNKNOWN, self.digest, pins=((PinReason.UNKNOWN, ""),), unknown_reason=unknown_reason
        )

    def read(self) -> Statement:
        """Return the classification of the statement."""
        if not self.tokens:
            return Statement(StatementKind.EMPTY, self.digest)
        names, first = self.names, self.names[0]
        second = names[1] if len(names) > 1 else ""
        if first in ("begin",) or (first, second) == ("start", "transaction"):
            return Statement(StatementKind.BEGIN, self.digest)
        if first in ("commit", "rollback"):
            return self._end_of_transaction(first)
        if first == "savepoint" or (first, second) == ("release", "savepoint"):
            return Statement(StatementKind.SAVEPOINT, self.digest)
        if first == "set":
            return self._set()
        if first == "use" and len(self.tokens) == 2:
            name = self.tokens[1][1].decode("utf-8", "replace").strip("`").replace("``", "`")
            return Statement(StatementKind.USE, self.digest, plain_read=True, schema=name)
        if first == "kill":
            return self._kill()
        if first == "lock" or (first == "flush" and "lock" in names):
            return Statement(StatementKind.LOCK, self.digest, pins=((PinReason.TABLE_LOCKS, ""),))
        if first == "unlock":
            return Statement(StatementKind.UNLOCK, self.digest, unpins=((PinReason.TABLE_LOCKS, ""),))
        if first == "load":
            return Statement(
                StatementKind.LOCAL_FILE if "local" in names[:4] else StatementKind.WRITE, self.digest
            )
        if first in ("prepare", "execute", "deallocate"):
            return Statement(StatementKind.UNKNOWN, self.digest, pins=((PinReason.PREPARED, ""),),
                             unknown_reason="PREPARE in SQL")  # fmt: skip
        if first == "get" and "diagnostics" in names[:3]:
            return replace(self.unknown("GET DIAGNOSTICS sets variables"), depends_on_previous=True)
        if first in _DDL_WORDS:
            return self._define()
        if first == "show":
            return self._show(second, names)
        if first in ("select", "with", "values", "table", "insert", "replace", "update", "delete", "explain",
                     "describe", "desc", "do") or self.tokens[0][1] == b"(":  # fmt: skip
            return self._query(first)
        return self.unknown(f"{first or 'it'} is not a known statement")

    def _end_of_transaction(self, first: str) -> Statement:
        names = [name for name in self.names[1:] if name != "work"]
        if first == "rollback" and names[:1] == ["to"]:
            return Statement(StatementKind.SAVEPOINT, self.digest)
        text = " ".join(names)
        known = {"": (False, False), "and chain": (True, False), "and no chain": (False, False),
                 "release": (False, True), "no release": (False, False),
                 "and no chain release": (False, True), "and no chain no release": (False, False),
                 "and chain no release": (True, False)}  # fmt: skip
        if text not in known:
            return self.unknown("unknown options of COMMIT or ROLLBACK")
        kind = StatementKind.COMMIT if first == "commit" else StatementKind.ROLLBACK
        return Statement(kind, self.digest, chain=known[text][0], release=known[text][1])

    def _kill(self) -> Statement:
        names, (kind, last) = self.names, self.tokens[-1]
        if kind != "number" or not last.isdigit() or len(last) > 20:
            return self.unknown("KILL of something other than a number")
        if len(names) == 2 or (len(names) == 3 and names[1] in ("query", "connection")):
            return Statement(StatementKind.KILL, self.digest, kill=(names[1] == "query", int(last)))
        return self.unknown("KILL of something other than a number")

    def _define(self) -> Statement:
        names = self.names
        if names[0] == "create" and "temporary" in names[1:4]:
            at = names.index("table") + 1 if "table" in names else len(names)
            if names[at : at + 3] == ["if", "not", "exists"]:
                at += 3
            return Statement(
                StatementKind.DEFINE,
                self.digest,
                pins=((PinReason.TEMPORARY_TABLE, self._name(at)[0]),),
                plain_read=False,
            )
        if names[0] == "drop" and "table" in names[1:3]:
            at = names.index("table") + 1
            if names[at : at + 2] == ["if", "exists"]:
                at += 2
            unpins = []
            while at < len(names):
                name, at = self._name(at)
                unpins.append((PinReason.TEMPORARY_TABLE, name))
                if at >= len(names) or self.tokens[at][1] != b",":
                    break
                at += 1
            return Statement(StatementKind.DEFINE, self.digest, unpins=tuple(unpins))
        return Statement(StatementKind.DEFINE, self.digest)

    def _name(self, at: int) -> tuple[str, int]:
        """Return a table name without its schema, and the index of the next token."""
        if at >= len(self.names):
            return "", at
        name = self.names[at]
        if at + 2 < len(self.names) and self.tokens[at + 1][1] == b".":
            return self.names[at + 2], at + 3
        return name, at + 1

    def _show(self, second: str, names: list[str]) -> Statement:
        about_previous = second in ("warnings", "errors") or (
            second == "count" and bool({"warnings", "errors"} & set(names))
        )
        return Statement(
            StatementKind.READ, self.digest, plain_read=not about_previous, depends_on_previous=about_previous
        )

    # --- SET ------------------------------------------------------------------------------------

    def _set(self) -> Statement:
        items: list[list[int]] = [[]]
        depth = 0
        for at in range(1, len(self.tokens)):
            token = self.tokens[at][1]
            depth += (token == b"(") - (token == b")")
            if token == b"," and not depth:
                items.append([])
            else:
                items[-1].append(at)
        out = Statement(StatementKind.SET, self.digest)
        scope = ""
        for item in items:
            if not item:
                return self.unknown("SET without a variable name")
            out, scope = self._set_item(out, item, scope)
            if out.kind is StatementKind.UNKNOWN:
                return out
        constants = len(out.settings) + (out.autocommit is not None)
        # A SET with only constant session settings has no side effects when retried.
        return replace(out, plain_read=not out.pins and constants == len(items))

    def _text(self, item: list[int]) -> str:
        return b" ".join(self.tokens[at][1] for at in item).decode("utf-8", "surrogateescape")

    def _set_item(self, out: Statement, item: list[int], scope: str) -> tuple[Statement, str]:
        names = [self.names[at] for at in item]
        first = names[0]
        if first in ("names", "charset") or names[:2] == ["character", "set"]:
            value_tokens = item[1:] if first != "character" else item[2:]
            charset = _unquoted(self.tokens[value_tokens[0]][1]).lower() if value_tokens else ""
            opaque = charset in _OPAQUE_CHARSETS
            pair = ("names", self._text(item))
            opaque = opaque or out.opaque_after
            return replace(out, settings=(*out.settings, pair), opaque_after=opaque), scope
        if first in ("password", "default") or (first == "resource"):
            return replace(self.unknown("SET of an account property"), kind=StatementKind.UNKNOWN), scope
        if first == "role":
            return replace(out, pins=(*out.pins, (PinReason.SETTING, "role"))), scope
        if first in _SCOPES:
            scope, item, names = first, item[1:], names[1:]
            first = names[0] if names else ""
        if first == "transaction":
            if scope in ("session", "local"):
                mode_words = [each for each in names[1:] if each]
                key = "transaction access" if "read" in mode_words[:1] else "transaction isolation"
                return replace(out, settings=(*out.settings, (key, "SESSION " + self._text(item)))), scope
            pin = () if scope else ((PinReason.NEXT_TRANSACTION, ""),)
            return replace(out, pins=(*out.pins, *pin)), scope
        if len(item) < 3 or self.tokens[item[1]][1] not in (b"=", b":="):
            return self.unknown("unknown form of SET"), scope
        value = item[2:]
        kind, token = self.tokens[item[0]]
        if kind == "variable" and not token.startswith(b"@@"):
            return replace(out, pins=(*out.pins, (PinReason.USER_VARIABLE, first[1:]))), scope
        explicit = scope
        if kind == "variable":
            name = first[2:]
            head, dot, tail = name.partition(".")
            explicit = head if dot and head in _SCOPES else ""
            name = tail if explicit else name
            if not explicit and name in _NEXT_TRANSACTION_VARIABLES:
                return replace(out, pins=(*out.pins, (PinReason.NEXT_TRANSACTION, name))), scope
        else:
            name = first
        if explicit in ("global", "persist", "persist_only"):
            return out, scope
        return self._setting(out, name, value), scope

    def _setting(self, out: Statement, name: str, value: list[int]) -> Statement:
        sign = self.tokens[value[0]][1] in (b"-", b"+")
        kind, token = self.tokens[value[-1]]
        constant = len(value) == 1 + sign and kind in ("string", "number", "word")
        if not constant or name in _NEVER_REPLAYED or not re.fullmatch(r"[a-z0-9_.]+", name):
            last_id = name in ("last_insert_id", "identity")
            return replace(
                out, pins=(*out.pins, (PinReason.SETTING, name)), sets_last_id=out.sets_last_id or last_id
            )
        text = _unquoted(token).lower()
        if name == "autocommit":
            if text in _ON | _OFF:
                return replace(out, autocommit=text in _ON)
            return replace(out, pins=(*out.pins, (PinReason.SETTING, name)))
        opaque = out.opaque_after or (name == "sql_mode" and any(mode in text for mode in _OPAQUE_MODES))
        opaque = opaque or (name == "character_set_client" and text in _OPAQUE_CHARSETS)
        pair = (name, f"SESSION {name} = {self._text(value).replace(' ', '') if sign else self._text(value)}")
        return replace(out, settings=(*out.settings, pair), opaque_after=opaque)

    # --- queries, parsed by sqlglot -------------------------------------------------------------

    def _query(self, first: str) -> Statement:
        """Classify a query or data statement by its sqlglot syntax tree, parsed without its literals."""
        names = self.names
        source = []
        for kind, token in self.tokens:
            if kind == "string":
                source.append("'s'")
            elif kind == "number":
                source.append("1")
            else:
                source.append(token.decode("utf-8", "replace"))
        if first == "replace":
            source[0] = "INSERT"
        elif first == "do":
            source[0] = "SELECT"
        if first == "insert" or first == "replace":
            modifiers = ("low_priority", "high_priority", "delayed", "ignore")
            source = [
                source_token
                for at, source_token in enumerate(source)
                if not 0 < at <= 2 or source_token.lower() not in modifiers
            ]
        tree = _parse(" ".join(source))
        if tree is None:
            return self.unknown("the parser failed")
        return self._classify_tree(first, tree, names)

    def _classify_tree(self, first: str, tree: Any, names: list[str]) -> Statement:
        from sqlglot import exp

        writes = (exp.Insert, exp.Update, exp.Delete, exp.Merge)
        pins: list[tuple[PinReason, str]] = []
        plain_read, about_previous, reads_last_id, sets_last_id = True, False, False, False
        unpins: list[tuple[PinReason, str]] = []
        for node in tree.walk():
            if isinstance(node, (*writes, exp.Lock, exp.Into, exp.Command, exp.Create, exp.Drop)):
                plain_read = False
                if isinstance(node, exp.Command):
                    return self.unknown("the parser knows only a part of the statement")
                if isinstance(node, exp.Into):
                    pins += [(PinReason.USER_VARIABLE, _sql(each)) for each in node.find_all(exp.Parameter)]
            elif isinstance(node, exp.PropertyEQ) and isinstance(node.this, exp.Parameter):
                plain_read = False
                pins.append((PinReason.USER_VARIABLE, _sql(node.this)))
        # Function calls are found by tokens, because sqlglot renames some functions and drops others.
        for at, name in enumerate(names):
            if not name or at + 1 >= len(names) or self.tokens[at + 1][1] != b"(":
                continue
            if self.tokens[at][0] != "word" or name in _PURE_FUNCTIONS or not self._may_be_function(at):
                continue
            if name in ("get_lock", "release_lock", "release_all_locks", "is_free_lock", "is_used_lock"):
                plain_read = False
                lock = self._literal(at + 2)
                if name == "get_lock":
                    pins.append((PinReason.NAMED_LOCK, lock or "?"))
                elif name == "release_all_locks":
                    unpins.append((PinReason.NAMED_LOCK, ""))
                elif name == "release_lock" and lock:
                    unpins.append((PinReason.NAMED_LOCK, lock))
            elif name == "last_insert_id":
                without_argument = self.tokens[at + 2][1] == b")" if at + 2 < len(self.tokens) else False
                reads_last_id, sets_last_id = (
                    reads_last_id or without_argument,
                    sets_last_id or not without_argument,
                )
                plain_read = plain_read and without_argument
            elif name in _PREVIOUS_STATEMENT_FUNCTIONS:
                about_previous, plain_read = True, False
            else:
                plain_read = False  # the function may be a stored function, which may write data
        for name in names:
            if name in ("@@identity", "@@last_insert_id", "@@session.identity", "@@session.last_insert_id"):
                reads_last_id = True
            elif name in ("@@warning_count", "@@error_count"):
                about_previous, plain_read = True, False
        if ":=" in {token.decode("latin-1") for _, token in self.tokens}:
            plain_read = False
            if not any(pin is PinReason.USER_VARIABLE for pin, _ in pins):
                pins.append((PinReason.USER_VARIABLE, "?"))
        if "into" in names and first in ("select", "with") and not pins:
            plain_read = False
            if any(kind == "variable" for kind, _ in self.tokens[names.index("into") :]):
                pins.append((PinReason.USER_VARIABLE, "?"))
        if "sql_calc_found_rows" in names:
            pins.append((PinReason.DIAGNOSTICS, ""))
        write = first in ("insert", "replace", "update", "delete") or any(
            isinstance(node, writes) for node in tree.walk()
        )
        if first in ("explain", "describe", "desc"):
            write, plain_read = False, plain_read and not write
        return Statement(
            StatementKind.WRITE if write else StatementKind.READ, self.digest, plain_read and not write,
            tuple(pins), tuple(unpins),
            depends_on_previous=about_previous, reads_last_id=reads_last_id, sets_last_id=sets_last_id,
        )  # fmt: skip

    def _may_be_function(self, at: int) -> bool:
        """Return whether the token before a parenthesis may be a function name."""
        name = self.names[at]
        if name in _NOT_FUNCTIONS:
            return False
        before = self.names[at - 1] if at else ""
        return before not in _BEFORE_NAMES

    def _literal(self, at: int) -> str:
        if at < len(self.tokens) and self.tokens[at][0] == "string":
            return _unquoted(self.tokens[at][1]).lower()
        return ""


_BEFORE_NAMES = _name_set("into table from join as update index key using with recursive partition")
_NOT_FUNCTIONS = _name_set(
    """and or not in values value select from where on using set as when then else case by having limit
    union all any some exists between like is row over partition key index primary unique into table join
    interval with except intersect distinct match against binary return rows range xor div mod order group
    references check default offset update for decimal numeric float double char varchar varbinary
    signed unsigned bit datetime text blob enum fulltext spatial columns tables current"""
)


def _sql(node: Any) -> str:
    return str(node.sql(dialect="mysql")).lstrip("@").lower()


def _parse(source: str) -> Any:
    """Parse one statement into a sqlglot syntax tree; return None if that fails."""
    try:
        import sqlglot
        from sqlglot.errors import SqlglotError
    except ImportError:
        raise RuntimeError("the MySQL front end needs sqlglot: install brambleusher[mysql]") from None
    try:
        trees = sqlglot.parse(source, dialect="mysql")
    except (SqlglotError, RecursionError, ValueError, AttributeError, TypeError, IndexError, KeyError):
        # A statement on which the parser fails must not end the session.
        return None
    return trees[0] if len(trees) == 1 and trees[0] is not None else None


# --- classification of texts --------------------------------------------------------------------

_DATA_WORDS = (b"insert", b"replace", b"update", b"delete")
_SIDE_EFFECT_PATTERNS = re.compile(rb"@|get_lock|release_|last_insert_id|/\*!|found_rows|row_count", re.I)


class StatementClassifier:
    """Classifies texts, with caches by text and by digest."""

    def __init__(self, digests: int = CACHED_DIGESTS, texts: int = CACHED_TEXTS) -> None:
        self._by_digest: OrderedDict[tuple[str, bool], Statement] = OrderedDict()
        self._by_text: OrderedDict[tuple[bytes, bool], Statement] = OrderedDict()
        self._max_digests, self._max_texts = digests, texts
        self.parsed_digests = 0
        _parse("select 1 from t")  # loads the parser now, so that the first statement is not delayed
        # sqlglot's warnings contain statement texts, which must not be logged.
        logging.getLogger("sqlglot").setLevel(logging.CRITICAL)

    def __len__(self) -> int:
        """Return the number of cached digests."""
        return len(self._by_digest)

    def classify(self, text: bytes, multi: bool = False, opaque: bool = False) -> Statement:
        """Classify a text.

        `multi` allows several statements in the text; `opaque` means that the text can't be tokenized.
        """
        if opaque:
            return Statement(
                StatementKind.UNKNOWN,
                "?",
                pins=((PinReason.UNKNOWN, ""),),
                unknown_reason="text can't be tokenized",
            )
        key = (text, multi)
        if (cached := self._by_text.get(key)) is not None:
            self._by_text.move_to_end(key)
            return cached
        statement = (
            self._classify_long_text(text, multi)
            if len(text) > MAX_TEXT
            else self._classify_short_text(text, multi)
        )
        if len(text) <= CACHED_TEXT_BYTES:
            self._by_text[key] = statement
            if len(self._by_text) > self._max_texts:
                self._by_text.popitem(last=False)
        return statement

    def _classify_long_text(self, text: bytes, multi: bool) -> Statement:
        """Classify a text above `MAX_TEXT` by its first word and by patterns of possible side effects."""
        first = text[:64].lstrip().split(None, 1)[0].lower() if text[:64].strip() else b""
        if first in _DATA_WORDS and not multi and not _SIDE_EFFECT_PATTERNS.search(text):
            return Statement(StatementKind.WRITE, f"{first.decode()} …")
        return Statement(
            StatementKind.UNKNOWN,
            "…",
            pins=((PinReason.UNKNOWN, ""),),
            unknown_reason=f"longer than {MAX_TEXT} bytes",
        )

    def _classify_short_text(self, text: bytes, multi: bool) -> Statement:
        tokens, comments, reliable = tokenize(text)
        hint = parse_hint(comments)
        digest = build_digest(tokens)
        if not reliable:
            unknown_reason = "executable comment, or unclosed quote or comment"
            if any(kind == "sign" and token in b"'\"`" for kind, token in tokens):
                # Digests are logged and must not contain literals; after an unclosed quote any token could
                # be part of a literal.
                digest = f"{build_digest(tokens[:1])} …"
            return Statement(
                StatementKind.UNKNOWN,
                digest,
                pins=((PinReason.UNKNOWN, ""),),
                hint=hint,
                unknown_reason=unknown_reason,
            )
        key = (digest, multi)
        classified = self._by_digest.get(key)
        if classified is not None:
            self._by_digest.move_to_end(key)
        else:
            classified = self._classify_tokens(tokens, digest, multi)
            if len(digest) <= CACHED_DIGEST_LENGTH and not _depends_on_literals(classified):
                self._by_digest[key] = classified
                if len(self._by_digest) > self._max_digests:
                    self._by_digest.popitem(last=False)
        return classified if hint is None else replace(classified, hint=hint)

    def _classify_tokens(self, tokens: list[Token], digest: str, multi: bool) -> Statement:
        self.parsed_digests += 1
        while tokens and tokens[-1][1] == b";":
            tokens = tokens[:-1]
        split_tokens: list[list[Token]] = [[]]
        for token in tokens:
            if token[1] == b";":
                split_tokens.append([])
            else:
                split_tokens[-1].append(token)
        if len(split_tokens) == 1:
            return _Classifier(tokens, digest).read()
        if not multi or len(split_tokens) > MAX_STATEMENTS:
            # Without the MULTI_STATEMENTS capability the server rejects the text; no effects are assumed.
            return _Classifier(tokens, digest).unknown("several statements in one text")
        return _combine([_Classifier(each, digest).read() for each in split_tokens if each], digest)


def _depends_on_literals(statement: Statement) -> bool:
    """Return whether texts with the same digest may differ in their classification."""
    named = {PinReason.NAMED_LOCK, PinReason.TEMPORARY_TABLE, PinReason.USER_VARIABLE}
    return (
        bool(statement.settings or statement.kill is not None or statement.autocommit is not None)
        or statement.kind is StatementKind.SET
        or any(pin in named for pin, _ in (*statement.pins, *statement.unpins))
    )


def _combine(statements: list[Statement], digest: str) -> Statement:
    """Combine the classifications of several statements in one text."""
    if not statements:
        return Statement(StatementKind.EMPTY, digest)
    all_plain_reads = all(each.plain_read for each in statements)
    kinds = {each.kind for each in statements}
    if kinds & {StatementKind.KILL, StatementKind.LOCAL_FILE}:
        return Statement(
            StatementKind.UNKNOWN,
            digest,
            pins=((PinReason.UNKNOWN, ""),),
            unknown_reason="KILL or LOCAL among several statements",
        )
    pins = tuple(dict.fromkeys(pin for each in statements for pin in each.pins))
    # Removed pins are ignored, because an error may have ended the text before the removing statement.
    return Statement(
        StatementKind.READ if all_plain_reads
        else StatementKind.UNKNOWN if StatementKind.UNKNOWN in kinds else StatementKind.WRITE,
        digest, all_plain_reads, pins,
        settings=tuple(pair for each in statements for pair in each.settings),
        autocommit=next(
            (each.autocommit for each in reversed(statements) if each.autocommit is not None), None
        ),
        schema=next((each.schema for each in reversed(statements) if each.schema is not None), None),
        depends_on_previous=statements[0].depends_on_previous,
        reads_last_id=any(each.reads_last_id for each in statements),
        sets_last_id=any(each.sets_last_id for each in statements),
        opaque_after=any(each.opaque_after for each in statements),
        release=any(each.release for each in statements),
        count=len(statements),
        may_restart_transaction=bool(kinds & {
            StatementKind.BEGIN, StatementKind.COMMIT, StatementKind.ROLLBACK, StatementKind.DEFINE,
        }),
        unknown_reason="; ".join(each.unknown_reason for each in statements if each.unknown_reason),
    )  # fmt: skip
