"""Constants of the MySQL client/server protocol, named as in the MySQL documentation."""

from __future__ import annotations

from enum import IntEnum

MAX_PAYLOAD = 0xFFFFFF  # maximum payload of one packet in bytes; longer messages continue in the next one
SCRAMBLE = 20  # length of the authentication challenge in a greeting, in bytes
PROTOCOL_VERSION = 10

NATIVE = "mysql_native_password"
CACHING_SHA2 = "caching_sha2_password"


class Capability(IntEnum):
    """Capability flags that client and server negotiate in the handshake."""

    LONG_PASSWORD = 1 << 0
    FOUND_ROWS = 1 << 1
    LONG_FLAG = 1 << 2
    CONNECT_WITH_DB = 1 << 3
    NO_SCHEMA = 1 << 4
    COMPRESS = 1 << 5
    ODBC = 1 << 6
    LOCAL_FILES = 1 << 7
    IGNORE_SPACE = 1 << 8
    PROTOCOL_41 = 1 << 9
    INTERACTIVE = 1 << 10
    SSL = 1 << 11
    IGNORE_SIGPIPE = 1 << 12
    TRANSACTIONS = 1 << 13
    RESERVED = 1 << 14
    SECURE_CONNECTION = 1 << 15
    MULTI_STATEMENTS = 1 << 16
    MULTI_RESULTS = 1 << 17
    PS_MULTI_RESULTS = 1 << 18
    PLUGIN_AUTH = 1 << 19
    CONNECT_ATTRS = 1 << 20
    PLUGIN_AUTH_LENENC = 1 << 21
    CAN_HANDLE_EXPIRED_PASSWORDS = 1 << 22
    SESSION_TRACK = 1 << 23
    DEPRECATE_EOF = 1 << 24
    OPTIONAL_RESULTSET_METADATA = 1 << 25
    ZSTD = 1 << 26
    QUERY_ATTRIBUTES = 1 << 27


class Status(IntEnum):
    """Server status flags carried by OK and EOF packets."""

    IN_TRANS = 1 << 0
    AUTOCOMMIT = 1 << 1
    MORE_RESULTS = 1 << 3
    NO_GOOD_INDEX_USED = 1 << 4
    NO_INDEX_USED = 1 << 5
    CURSOR_EXISTS = 1 << 6
    LAST_ROW_SENT = 1 << 7
    DB_DROPPED = 1 << 8
    NO_BACKSLASH_ESCAPES = 1 << 9
    METADATA_CHANGED = 1 << 10
    QUERY_WAS_SLOW = 1 << 11
    PS_OUT_PARAMS = 1 << 12
    IN_TRANS_READONLY = 1 << 13
    SESSION_STATE_CHANGED = 1 << 14


class Command(IntEnum):
    """Command codes, sent as the first byte of a command packet."""

    SLEEP = 0x00
    QUIT = 0x01
    INIT_DB = 0x02
    QUERY = 0x03
    FIELD_LIST = 0x04
    CREATE_DB = 0x05
    DROP_DB = 0x06
    REFRESH = 0x07
    SHUTDOWN = 0x08
    STATISTICS = 0x09
    PROCESS_INFO = 0x0A
    CONNECT = 0x0B
    PROCESS_KILL = 0x0C
    DEBUG = 0x0D
    PING = 0x0E
    TIME = 0x0F
    DELAYED_INSERT = 0x10
    CHANGE_USER = 0x11
    BINLOG_DUMP = 0x12
    TABLE_DUMP = 0x13
    CONNECT_OUT = 0x14
    REGISTER_SLAVE = 0x15
    STMT_PREPARE = 0x16
    STMT_EXECUTE = 0x17
    STMT_SEND_LONG_DATA = 0x18
    STMT_CLOSE = 0x19
    STMT_RESET = 0x1A
    SET_OPTION = 0x1B
    STMT_FETCH = 0x1C
    DAEMON = 0x1D
    BINLOG_DUMP_GTID = 0x1E
    RESET_CONNECTION = 0x1F


class Type(IntEnum):
    """Type codes of columns and prepared statement parameters."""

    DECIMAL = 0x00
    TINY = 0x01
    SHORT = 0x02
    LONG = 0x03
    FLOAT = 0x04
    DOUBLE = 0x05
    NULL = 0x06
    TIMESTAMP = 0x07
    LONGLONG = 0x08
    INT24 = 0x09
    DATE = 0x0A
    TIME = 0x0B
    DATETIME = 0x0C
    YEAR = 0x0D
    VARCHAR = 0x0F
    BIT = 0x10
    JSON = 0xF5
    NEWDECIMAL = 0xF6
    ENUM = 0xF7
    SET = 0xF8
    TINY_BLOB = 0xF9
    MEDIUM_BLOB = 0xFA
    LONG_BLOB = 0xFB
    BLOB = 0xFC
    VAR_STRING = 0xFD
    STRING = 0xFE
    GEOMETRY = 0xFF


class SessionChange(IntEnum):
    """Types of session state change that an OK packet reports."""

    SYSTEM_VARIABLES = 0
    SCHEMA = 1
    STATE_CHANGE = 2
    GTIDS = 3
    TRANSACTION_CHARACTERISTICS = 4
    TRANSACTION_STATE = 5


UNSIGNED_FLAG, BINARY_FLAG = 0x20, 0x80  # flags of a column definition
UNSIGNED_PARAMETER = 0x80  # unsigned flag in the second byte of a parameter's type
CURSOR_READ_ONLY = 1  # flag of COM_STMT_EXECUTE that requests a read-only cursor
UTF8MB4, BINARY = 255, 63  # collation ids

# Collation ids of the client character sets in which the second byte of a character can be a quote or a
# backslash; statements in these character sets can't be tokenized byte by byte.
UNSAFE_COLLATIONS = frozenset({1, 13, 24, 28, 84, 86, 87, 88, 95, 96, 248, 249, 250})
UNSAFE_CHARSETS = frozenset({"big5", "sjis", "gbk", "gb2312", "cp932", "gb18030", "euckr", "eucjpms", "ujis"})
# Character sets that the protocol forbids to clients, because a zero byte is half a character in them.
WIDE_CHARSETS = frozenset({"ucs2", "utf16", "utf16le", "utf32"})
UTF8_COLLATIONS = (
    frozenset({33, 45, 46, 76, 83, 223})
    | frozenset(range(192, 216))
    | frozenset(range(224, 248))
    | frozenset(range(255, 324))
)


class Errno(IntEnum):
    """MySQL error numbers used by the front end."""

    CON_COUNT = 1040
    OUT_OF_RESOURCES = 1041
    BAD_HANDSHAKE = 1043
    DBACCESS_DENIED = 1044
    ACCESS_DENIED = 1045
    NO_DB = 1046
    UNKNOWN_COM = 1047
    BAD_DB = 1049
    SERVER_SHUTDOWN = 1053
    PARSE = 1064
    NO_SUCH_THREAD = 1094
    KILL_DENIED = 1095
    UNKNOWN = 1105
    HOST_BLOCKED = 1129
    HOST_NOT_PRIVILEGED = 1130
    NO_SUCH_TABLE = 1146
    NET_PACKET_TOO_LARGE = 1153
    NET_READ = 1158
    NET_PACKETS_OUT_OF_ORDER = 1156
    NET_READ_INTERRUPTED = 1159
    ERROR_DURING_COMMIT = 1180
    TOO_MANY_USER_CONNECTIONS = 1203
    LOCK_WAIT_TIMEOUT = 1205
    LOCK_DEADLOCK = 1213
    WRONG_ARGUMENTS = 1210
    NOT_SUPPORTED_YET = 1235
    UNKNOWN_STMT_HANDLER = 1243
    INVALID_CHARACTER_STRING = 1300
    QUERY_INTERRUPTED = 1317
    TRUNCATED_WRONG_VALUE = 1292
    NEED_REPREPARE = 1615
    QUERY_TIMEOUT = 3024
    SECURE_TRANSPORT_REQUIRED = 3159
    SERVER_ISNT_AVAILABLE = 3168
    MALFORMED_PACKET = 1835
    CLIENT_LOCAL_FILES_DISABLED = 3948
    CLIENT_INTERACTION_TIMEOUT = 4031


SQLSTATES = {
    Errno.CON_COUNT: "08004",
    Errno.BAD_HANDSHAKE: "08S01",
    Errno.DBACCESS_DENIED: "42000",
    Errno.ACCESS_DENIED: "28000",
    Errno.NO_DB: "3D000",
    Errno.UNKNOWN_COM: "08S01",
    Errno.BAD_DB: "42000",
    Errno.SERVER_SHUTDOWN: "08S01",
    Errno.PARSE: "42000",
    Errno.NO_SUCH_TABLE: "42S02",
    Errno.NET_PACKET_TOO_LARGE: "08S01",
    Errno.NET_READ: "08S01",
    Errno.NET_PACKETS_OUT_OF_ORDER: "08S01",
    Errno.NET_READ_INTERRUPTED: "08S01",
    Errno.ERROR_DURING_COMMIT: "08007",  # SQLSTATE class 08007 means "transaction resolution unknown"
    Errno.TOO_MANY_USER_CONNECTIONS: "42000",
    Errno.LOCK_DEADLOCK: "40001",
    Errno.NOT_SUPPORTED_YET: "42000",
    Errno.QUERY_INTERRUPTED: "70100",
    Errno.CLIENT_LOCAL_FILES_DISABLED: "42000",
}


def sqlstate(errno: int) -> str:
    """Return the SQLSTATE of an error number, or HY000 for an unknown number."""
    try:
        return SQLSTATES.get(Errno(errno), "HY000")
    except ValueError:
        return "HY000"
