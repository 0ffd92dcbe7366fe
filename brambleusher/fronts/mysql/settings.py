"""The `mysql:` section of the operator file, and the files that the section refers to."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from brambleusher.fronts.mysql.auth import RsaKey, Secret
from brambleusher.fronts.mysql.constants import CACHING_SHA2, NATIVE
from brambleusher.fronts.mysql.statements import build_digest, tokenize
from brambleusher.loadbalancing import api
from brambleusher.operator_settings.section import OperatorFileError, Section
from brambleusher.runtime.streams import parse_address

MAX_FILE = 1024 * 1024  # maximum size in bytes of the users file and of the accounts file
MAX_ENTRIES = 10_000  # maximum number of entries of a list or mapping in the section
TLS_MODES = ("off", "preferred", "required")


@dataclass(frozen=True, slots=True)
class UserRule:
    """Settings of one client user, except for the password."""

    account: str  # account name on the nodes
    request_class: str | None = None  # request class of the user's plain reads
    tenant: str | None = None
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class StatementRule:
    """The request class and deadline of statements with one digest."""

    digest: str
    request_class: str
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Tls:
    """TLS mode and paths of certificate files; an empty path means no file."""

    mode: str = "off"
    cert_file: str = ""
    key_file: str = ""
    ca_file: str = ""
    host: str = ""  # host name required in the nodes' certificates; empty skips the check


@dataclass(frozen=True, slots=True)
class MysqlSettings:
    """Parsed contents of the `mysql:` section."""

    listen: tuple[str, int]
    users_file: str
    accounts_file: str
    strict_class: str
    default_class: str | None = None
    port: int = 3306
    addresses: Mapping[str, tuple[str, int]] = field(default_factory=dict)
    users: Mapping[str, UserRule] = field(default_factory=dict)
    statements: tuple[StatementRule, ...] = ()
    hints: bool = True
    tenant: str | None = None
    server_version: str = "8.0.36-brambleusher"
    auth_plugin: str = CACHING_SHA2
    tls: Tls = Tls()
    node_tls: Tls = Tls()
    rsa_key_file: str = ""
    node_key_file: str = ""
    ask_node_key: bool = False
    sessions: int = 300
    connections: int = 64  # maximum number of connections per node and account
    connections_total: int = 128  # maximum number of connections to all nodes
    idle_ms: int = 60_000
    pool_wait_ms: int = 1000
    login_ms: int = 10_000
    session_idle_ms: int = 28_800_000
    max_packet_mb: int = 16
    memory_mb: int = 16  # memory in MB for buffered commands and prepared statements of all sessions
    grace_ms: Mapping[str, int] = field(default_factory=dict)
    drain_spread_ms: int = 1000
    load: str = "pool"  # source of load figures: "pool" estimates them from the connections, "none" has none


def _address(text: str | None, path: str) -> tuple[str, int]:
    try:
        return parse_address(text or "")
    except ValueError as error:
        raise OperatorFileError(f"{path}: {error}") from None


def _mapping(section: Section, key: str) -> dict[str, Any]:
    raw = section.take(key)
    if raw is None:
        return {}
    if not isinstance(raw, dict) or len(raw) > MAX_ENTRIES:
        raise OperatorFileError(f"{section.name(key)} is not a mapping with a size of at most {MAX_ENTRIES}")
    return raw


def _boolean(section: Section, key: str, default: bool) -> bool:
    value = section.take(key, default)
    if not isinstance(value, bool):
        raise OperatorFileError(f"{section.name(key)} is not true or false")
    return value


def _optional_ms(section: Section, key: str) -> int | None:
    return section.integer(key, 0, 1, 86_400_000) if section.has(key) else None


def _tls(raw: Any, path: str, server: bool) -> Tls:
    section = Section(raw, path)
    tls = Tls(
        section.choice("mode", TLS_MODES, "off"),
        section.text("cert_file", "") or "",
        section.text("key_file", "") or "",
        section.text("ca_file", "") or "",
        (section.text("host", "") or "") if not server else "",
    )
    section.reject_unknown_keys()
    if server and tls.mode != "off" and not (tls.cert_file and tls.key_file):
        raise OperatorFileError(f"{path} needs cert_file and key_file")
    if not server and tls.mode == "required" and not tls.ca_file:
        # Without certificate verification, a man in the middle could impersonate a node despite TLS.
        raise OperatorFileError(
            f"{path}.ca_file is missing: required TLS has to verify the nodes' certificates"
        )
    return tls


def parse_mysql(raw: Any) -> MysqlSettings:
    """Parse and validate the section; raises `OperatorFileError` naming the key."""
    section = Section(raw, "mysql")
    for key in ("listen", "users_file", "accounts_file", "strict_class"):
        if not section.has(key):
            raise OperatorFileError(f"mysql.{key} is missing")
    addresses = {
        str(name): _address(text if isinstance(text, str) else None, f"mysql.addresses.{name}")
        for name, text in _mapping(section, "addresses").items()
    }
    users = {}
    for name, given in _mapping(section, "users").items():
        rule = Section(given, f"mysql.users.{name}")
        users[str(name)] = UserRule(
            rule.text("account", str(name)) or str(name), rule.text("class"), rule.text("tenant"),
            _optional_ms(rule, "deadline_ms"),
        )  # fmt: skip
        rule.reject_unknown_keys()
    grace = {}
    if section.has("grace_ms"):
        given_grace = _mapping(section, "grace_ms")
        each = Section(given_grace, "mysql.grace_ms")
        grace = {str(name): each.integer(name, 0, 0, 3_600_000) for name in given_grace}
    defaults = MysqlSettings(("", 0), "", "", "")
    settings = MysqlSettings(
        listen=_address(section.text("listen"), "mysql.listen"),
        users_file=section.text("users_file") or "",
        accounts_file=section.text("accounts_file") or "",
        strict_class=section.text("strict_class") or "",
        default_class=section.text("default_class"),
        port=section.integer("port", defaults.port, 1, 65_535),
        addresses=addresses,
        users=users,
        statements=_statements(section.take("statements")),
        hints=_boolean(section, "hints", defaults.hints),
        tenant=section.text("tenant"),
        server_version=section.text("server_version", defaults.server_version) or "",
        auth_plugin=section.choice("auth_plugin", (CACHING_SHA2, NATIVE), defaults.auth_plugin),
        tls=_tls(section.take("tls"), "mysql.tls", server=True),
        node_tls=_tls(section.take("node_tls"), "mysql.node_tls", server=False),
        rsa_key_file=section.text("rsa_key_file", "") or "",
        node_key_file=section.text("node_key_file", "") or "",
        ask_node_key=_boolean(section, "ask_node_key", defaults.ask_node_key),
        sessions=section.integer("sessions", defaults.sessions, 1, 100_000),
        connections=section.integer("connections", defaults.connections, 1, 10_000),
        connections_total=section.integer("connections_total", defaults.connections_total, 1, 100_000),
        idle_ms=section.integer("idle_ms", defaults.idle_ms, 10, 86_400_000),
        pool_wait_ms=section.integer("pool_wait_ms", defaults.pool_wait_ms, 0, 3_600_000),
        login_ms=section.integer("login_ms", defaults.login_ms, 10, 600_000),
        session_idle_ms=section.integer("session_idle_ms", defaults.session_idle_ms, 10, 604_800_000),
        max_packet_mb=section.integer("max_packet_mb", defaults.max_packet_mb, 1, 1024),
        memory_mb=section.integer("memory_mb", defaults.memory_mb, 1, 65_536),
        grace_ms=grace,
        load=section.choice("load", ("pool", "none"), defaults.load),
        drain_spread_ms=section.integer("drain_spread_ms", defaults.drain_spread_ms, 0, 600_000),
    )
    section.reject_unknown_keys()
    return settings


def _statements(raw: Any) -> tuple[StatementRule, ...]:
    if raw is None:
        return ()
    if not isinstance(raw, list) or len(raw) > MAX_ENTRIES:
        raise OperatorFileError(f"mysql.statements is not a list with a length of at most {MAX_ENTRIES}")
    out = []
    for at, given in enumerate(raw):
        path = f"mysql.statements[{at}]"
        rule = Section(given, path)
        text, request_class = rule.text("text"), rule.text("class")
        if text is None or request_class is None:
            raise OperatorFileError(f"{path} needs text and class")
        tokens, _, reliable = tokenize(text.encode())
        if not reliable or not tokens:
            raise OperatorFileError(f"{path}.text can't be read as a statement")
        out.append(StatementRule(build_digest(tokens), request_class, _optional_ms(rule, "deadline_ms")))
        rule.reject_unknown_keys()
    return tuple(out)


def check_against(settings: MysqlSettings, platform: api.Settings) -> None:
    """Check that classes and tenants exist on the platform; raises `OperatorFileError` naming the key."""
    classes = {cls.name: cls for cls in platform.classes}
    tenants = {tenant.name for tenant in platform.tenants}
    class_settings = [
        ("mysql.strict_class", settings.strict_class),
        ("mysql.default_class", settings.default_class),
    ]
    class_settings += [
        (f"mysql.users.{name}.class", rule.request_class) for name, rule in settings.users.items()
    ]
    class_settings += [
        (f"mysql.statements[{at}].class", r.request_class) for at, r in enumerate(settings.statements)
    ]
    class_settings += [(f"mysql.grace_ms.{name}", name) for name in settings.grace_ms]
    for path, name in class_settings:
        if name is None:
            continue
        if name not in classes:
            raise OperatorFileError(f"{path}: unknown class {name}")
        if classes[name].idempotency is api.Idempotency.KEYED:
            # MySQL can't carry an idempotency key by which the nodes would recognise a retry.
            raise OperatorFileError(f"{path}: class {name} needs idempotency keys, which MySQL does not have")
    if classes[settings.strict_class].idempotency is not api.Idempotency.UNSAFE:
        raise OperatorFileError(f"mysql.strict_class: class {settings.strict_class} allows retries")
    tenant_settings = [("mysql.tenant", settings.tenant)]
    tenant_settings += [(f"mysql.users.{name}.tenant", rule.tenant) for name, rule in settings.users.items()]
    for path, name in tenant_settings:
        if name is not None and tenants and name not in tenants:
            raise OperatorFileError(f"{path}: unknown tenant {name}")
    if tenants and settings.tenant is None:
        raise OperatorFileError("mysql.tenant is missing: this deployment has tenants")


# --- users and accounts files -------------------------------------------------------------------


def _read_lines(path: str, key: str) -> list[tuple[int, str]]:
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE + 1)
    except OSError as error:
        raise OperatorFileError(f"{key}: {path} can't be read: {error.strerror}") from None
    if len(raw) > MAX_FILE:
        raise OperatorFileError(f"{key}: {path} has more than {MAX_FILE} bytes")
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        raise OperatorFileError(f"{key}: {path} is not UTF-8") from None
    return [
        (number, line)
        for number, line in enumerate(text.splitlines(), 1)
        if line.strip() and not line.lstrip().startswith("#")
    ]


def load_users(path: str) -> dict[str, Secret]:
    """Load the users file; each line has a name, a plugin and a hash, separated by tabs or spaces."""
    out: dict[str, Secret] = {}
    for number, line in _read_lines(path, "mysql.users_file"):
        fields = line.split()
        if len(fields) != 3:
            raise OperatorFileError(f"mysql.users_file: line {number} is not a name, a plugin and a hash")
        try:
            secret = Secret.parse(fields[1], fields[2])
        except ValueError as error:
            raise OperatorFileError(f"mysql.users_file: line {number}: {error}") from None
        if fields[0] in out:
            raise OperatorFileError(f"mysql.users_file: line {number} defines {fields[0]} a second time")
        out[fields[0]] = secret
    return out


class Passwords:
    """Passwords of the accounts on the nodes, kept out of representations and logs."""

    def __init__(self, by_account: Mapping[str, bytes]) -> None:
        self._by_account = dict(by_account)

    def __contains__(self, account: str) -> bool:
        """Return whether an account exists."""
        return account in self._by_account

    def of(self, account: str) -> bytes:
        """Return the password of an account, empty if the account has none."""
        return self._by_account[account]


def load_accounts(path: str) -> Passwords:
    """Load the accounts file; each line has an account and its password, separated by a tab or space.

    An account without a password logs in with an empty one.
    """
    out: dict[str, bytes] = {}
    for number, line in _read_lines(path, "mysql.accounts_file"):
        name, _, password = line.replace("\t", " ", 1).partition(" ")
        if name in out:
            raise OperatorFileError(f"mysql.accounts_file: line {number} defines {name} a second time")
        out[name] = password.strip(" \t").encode()
    return Passwords(out)


def load_secrets(settings: MysqlSettings) -> tuple[dict[str, Secret], Passwords, RsaKey, bytes | None]:
    """Load the users, the account passwords, the sidecar's RSA key and the nodes' public key from files."""
    users, accounts = load_users(settings.users_file), load_accounts(settings.accounts_file)
    for name in users:
        account = settings.users[name].account if name in settings.users else name
        if account not in accounts:
            raise OperatorFileError(f"mysql.accounts_file has no account {account}, which user {name} needs")
    rsa = RsaKey(_read_optional(settings.rsa_key_file, "mysql.rsa_key_file"))
    if settings.rsa_key_file:
        try:
            rsa.check()
        except ValueError as error:
            raise OperatorFileError(f"mysql.rsa_key_file: {error}") from None
    return users, accounts, rsa, _read_optional(settings.node_key_file, "mysql.node_key_file")


def _read_optional(path: str, key: str) -> bytes | None:
    if not path:
        return None
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise OperatorFileError(f"{key}: {path} can't be read: {error.strerror}") from None
