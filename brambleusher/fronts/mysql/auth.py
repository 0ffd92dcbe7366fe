"""MySQL authentication as state machines without I/O, for the server side and the client side.

Two plugins are supported: `mysql_native_password` (SHA-1 over a challenge) and `caching_sha2_password`.
The fast exchange of the latter proves knowledge of the password; the full exchange sends the password over
TLS or encrypted with the server's RSA key.  Stored hashes have the format of a MySQL server and are never
logged.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from brambleusher.fronts.mysql.constants import (
    CACHING_SHA2,
    MAX_PAYLOAD,
    NATIVE,
    SCRAMBLE,
    Capability,
    Errno,
    Status,
)
from brambleusher.fronts.mysql.messages import (
    ChangeUser,
    Err,
    Greeting,
    Login,
    Ok,
    SslRequest,
    auth_switch,
    parse_auth_switch,
)
from brambleusher.fronts.mysql.packets import PacketReader, ProtocolError, frame

MAX_LOGIN = 128 * 1024  # maximum size of one login message, in bytes
MAX_PASSWORD = 512  # maximum length of a password with its terminating zero byte, in bytes
FAST_AUTH_OK, FULL_AUTH, REQUEST_PUBLIC_KEY = b"\x03", b"\x04", b"\x02"
CRYPT_ROUNDS = 5000  # default number of SHA-256 crypt rounds in the hashes of a MySQL server
CRYPT_ROUNDS_PER_SLICE = 250  # SHA-256 crypt rounds computed before other tasks may run
_CRYPT = b"./0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"


# --- passwords ----------------------------------------------------------------------------------


def _xor(left: bytes, right: bytes) -> bytes:
    return bytes(a ^ b for a, b in zip(left, right, strict=True))


def native_response(password: bytes, challenge: bytes) -> bytes:
    """Return SHA1(password) XOR SHA1(challenge + SHA1(SHA1(password))), or nothing without a password."""
    if not password:
        return b""
    hashed = hashlib.sha1(password).digest()
    return _xor(hashed, hashlib.sha1(challenge + hashlib.sha1(hashed).digest()).digest())


def native_hash(password: bytes) -> bytes:
    """Return SHA1(SHA1(password)), the hash that a MySQL server stores."""
    return hashlib.sha1(hashlib.sha1(password).digest()).digest()


def verify_native(answer: bytes, challenge: bytes, stored: bytes) -> bool:
    """Check a challenge response against the stored `mysql_native_password` hash."""
    if not stored or not answer:
        return not stored and not answer
    if len(answer) != len(stored):
        return False
    hashed = _xor(answer, hashlib.sha1(challenge + stored).digest())
    return hmac.compare_digest(hashlib.sha1(hashed).digest(), stored)


def sha2_response(password: bytes, challenge: bytes) -> bytes:
    """Return SHA256(password) XOR SHA256(SHA256(SHA256(password)) + challenge), or nothing without one."""
    if not password:
        return b""
    hashed = hashlib.sha256(password).digest()
    double_hashed = hashlib.sha256(hashed).digest()
    return _xor(hashed, hashlib.sha256(double_hashed + challenge).digest())


def sha2_hash(password: bytes) -> bytes:
    """Return SHA256(SHA256(password)), against which the fast exchange is verified."""
    return hashlib.sha256(hashlib.sha256(password).digest()).digest()


def verify_sha2_response(answer: bytes, challenge: bytes, double_sha256: bytes) -> bool:
    """Check a challenge response against SHA256(SHA256(password)), given as `double_sha256`."""
    if len(answer) != len(double_sha256):
        return False
    hashed = _xor(answer, hashlib.sha256(double_sha256 + challenge).digest())
    return hmac.compare_digest(hashlib.sha256(hashed).digest(), double_sha256)


def crypt_steps(password: bytes, salt: bytes, rounds: int = CRYPT_ROUNDS) -> Iterator[bytes | None]:
    """Compute SHA-256 crypt (U. Drepper, "Unix crypt using SHA-256 and SHA-512") in slices of its rounds.

    Yields None after each slice and the 43 characters of the hash at the end.  The slices prevent a login
    from blocking all other sessions for the duration of 5,000 rounds.
    """
    size = len(password)
    inner = hashlib.sha256(password + salt + password).digest()
    context = hashlib.sha256(password + salt)
    context.update((inner * (size // 32 + 1))[:size])
    bits = size
    while bits:
        context.update(inner if bits & 1 else password)
        bits >>= 1
    state = context.digest()
    p_bytes = (hashlib.sha256(password * size).digest() * (size // 32 + 1))[:size]
    s_bytes = (hashlib.sha256(salt * (16 + state[0])).digest() * (len(salt) // 32 + 1))[: len(salt)]
    for index in range(rounds):
        is_odd = index & 1
        inputs = [p_bytes if is_odd else state]
        if index % 3:
            inputs.append(s_bytes)
        if index % 7:
            inputs.append(p_bytes)
        inputs.append(state if is_odd else p_bytes)
        state = hashlib.sha256(b"".join(inputs)).digest()
        if index % CRYPT_ROUNDS_PER_SLICE == CRYPT_ROUNDS_PER_SLICE - 1:
            yield None
    out = bytearray()
    permutation = [(0, 10, 20), (21, 1, 11), (12, 22, 2), (3, 13, 23), (24, 4, 14), (15, 25, 5), (6, 16, 26),
             (27, 7, 17), (18, 28, 8), (9, 19, 29)]  # fmt: skip
    for a, b, c in permutation:
        group = state[a] << 16 | state[b] << 8 | state[c]
        for _ in range(4):
            out.append(_CRYPT[group & 63])
            group >>= 6
    group = state[31] << 8 | state[30]
    for _ in range(3):
        out.append(_CRYPT[group & 63])
        group >>= 6
    yield bytes(out)


def sha256_crypt(password: bytes, salt: bytes, rounds: int = CRYPT_ROUNDS) -> bytes:
    """Compute SHA-256 crypt in one go and return the 43 characters of the hash."""
    return next(step for step in crypt_steps(password, salt, rounds) if step is not None)


@dataclass(slots=True)
class Secret:
    """The stored password hash of one user."""

    plugin: str
    double_sha1: bytes = b""  # SHA1(SHA1(password))
    salt: bytes = b""
    crypt_hash: bytes = b""  # 43 characters of the SHA-256 crypt hash
    rounds: int = CRYPT_ROUNDS
    double_sha256: bytes = b""  # SHA256(SHA256(password)), cached after the first successful full exchange

    def __repr__(self) -> str:
        """Return a representation without hashes, so that no hash is logged."""
        return f"Secret({self.plugin})"

    @classmethod
    def parse(cls, plugin: str, text: str) -> Secret:
        """Parse a hash in the format of a MySQL server.

        The format of `mysql_native_password` is an asterisk and 40 hexadecimal digits; that of
        `caching_sha2_password` is the `$A$005$…` text, or its bytes in hexadecimal.  `-` means no password.

        Raises:
            ValueError: The plugin is unknown or the hash is malformed.
        """
        if plugin not in (NATIVE, CACHING_SHA2):
            raise ValueError(f"{plugin!r} is not one of {NATIVE}, {CACHING_SHA2}")
        if text == "-":
            return cls(plugin)
        if plugin == NATIVE:
            if not re.fullmatch(r"\*[0-9A-Fa-f]{40}", text):
                raise ValueError("the hash is not an asterisk and 40 hexadecimal digits")
            return cls(plugin, double_sha1=bytes.fromhex(text[1:]))
        raw = bytes.fromhex(text) if re.fullmatch(r"([0-9A-Fa-f]{2}){70}", text) else text.encode("latin-1")
        found = re.fullmatch(rb"\$A\$([0-9A-F]{3})\$(.{20})([./0-9A-Za-z]{43})", raw, re.S)
        if found is None:
            raise ValueError("the hash is not $A$005$ with 20 bytes of salt and 43 characters")
        return cls(plugin, salt=found[2], crypt_hash=found[3], rounds=int(found[1], 16) * 1000)

    @classmethod
    def from_password(cls, plugin: str, password: bytes, salt: bytes = b"0123456789abcdefghij") -> Secret:
        """Hash a password for a plugin."""
        if not password:
            return cls(plugin)
        if plugin == NATIVE:
            return cls(plugin, double_sha1=native_hash(password))
        return cls(plugin, salt=salt, crypt_hash=sha256_crypt(password, salt))

    def to_server_format(self) -> str:
        """Return the hash in the format that `parse` reads."""
        if self.plugin == NATIVE:
            return "*" + self.double_sha1.hex().upper() if self.double_sha1 else "-"
        if not self.crypt_hash:
            return "-"
        return (b"$A$%03X$" % (self.rounds // 1000) + self.salt + self.crypt_hash).hex()

    @property
    def passwordless(self) -> bool:
        """Whether the user logs in without a password."""
        return not self.double_sha1 and not self.crypt_hash


class RsaKey:
    """The RSA key pair that encrypts passwords on connections without TLS, generated on first use."""

    def __init__(self, pem: bytes | None = None) -> None:
        self._pem, self._key = pem, None
        self._public = b""

    def _load(self) -> Any:
        if self._key is None:
            serialization, rsa = _cryptography()
            if self._pem is not None:
                key = serialization.load_pem_private_key(self._pem, None)
                if not isinstance(key, rsa.RSAPrivateKey):
                    raise ValueError("not an RSA key")
            else:
                key = rsa.generate_private_key(public_exponent=65537, key_size=2048)
            self._key = key
            self._public = key.public_key().public_bytes(
                serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
            )
        return self._key

    def check(self) -> None:
        """Load the key now; raises `ValueError` if the PEM data is not an RSA key without a passphrase."""
        try:
            self._load()
        except (TypeError, ValueError) as error:
            raise ValueError(f"not an RSA key in PEM format without a passphrase: {error}") from None

    def public(self) -> bytes:
        """Return the public key in PEM format."""
        self._load()
        return self._public

    def decrypt(self, data: bytes) -> bytes | None:
        """Decrypt data that was encrypted with the public key; return None if decryption fails."""
        from cryptography.hazmat.primitives import hashes
        from cryptography.hazmat.primitives.asymmetric import padding

        oaep = padding.OAEP(padding.MGF1(hashes.SHA1()), hashes.SHA1(), None)
        try:
            return bytes(self._load().decrypt(data, oaep))
        except ValueError:
            return None


def _cryptography() -> tuple[Any, Any]:
    try:
        from cryptography.hazmat.primitives import serialization
        from cryptography.hazmat.primitives.asymmetric import rsa
    except ImportError:
        raise ValueError("the RSA exchange needs cryptography: install brambleusher[mysql]") from None
    return serialization, rsa


def rsa_encrypt(password: bytes, challenge: bytes, pem: bytes) -> bytes:
    """XOR a zero-terminated password with the challenge and encrypt the result with a server's public key."""
    serialization, rsa = _cryptography()
    from cryptography.hazmat.primitives import hashes
    from cryptography.hazmat.primitives.asymmetric import padding

    try:
        key = serialization.load_pem_public_key(pem)
    except (ValueError, TypeError):
        raise ProtocolError("the server's public key can't be read", Errno.BAD_HANDSHAKE) from None
    if not isinstance(key, rsa.RSAPublicKey):
        raise ProtocolError("the server's public key is not an RSA key", Errno.BAD_HANDSHAKE)
    oaep = padding.OAEP(padding.MGF1(hashes.SHA1()), hashes.SHA1(), None)
    try:
        return bytes(key.encrypt(xor_with_challenge(password + b"\0", challenge), oaep))
    except ValueError:
        raise ProtocolError("the password is too long for the server's key", Errno.BAD_HANDSHAKE) from None


def xor_with_challenge(password: bytes, challenge: bytes) -> bytes:
    """XOR a password with the challenge, which is repeated as often as needed."""
    return bytes(byte ^ challenge[at % len(challenge)] for at, byte in enumerate(password))


# --- server side ------------------------------------------------------------------------------


class LoginStep(Enum):
    """The next step that a login requires of its caller."""

    READ = auto()  # feed more bytes from the peer
    TLS = auto()  # perform the TLS handshake and feed decrypted bytes from then on
    RESUME = auto()  # call `step` again after other tasks have run; a hash computation is in progress
    DONE = auto()
    REJECTED = auto()  # send the error in `out` and close the connection


class ServerLogin:
    """Authenticates one client.

    `step` returns what the login needs next; the bytes in `out` must be sent before that.  `find` returns the
    secret of a user, or None for an unknown user.
    """

    def __init__(
        self,
        thread: int,
        challenge: bytes,
        capabilities: int,
        find: Callable[[str], Secret | None],
        rsa: RsaKey,
        version: str,
        plugin: str = CACHING_SHA2,
        secure_only: bool = False,
    ) -> None:
        self._thread, self._offered, self._find_secret, self._rsa = thread, capabilities, find, rsa
        self._version, self._plugin, self._require_tls = version, plugin, secure_only
        self._challenge = challenge
        self._reader = PacketReader(MAX_LOGIN, seq=1)
        self._steps: Iterator[LoginStep] | None = None
        self.secure = False
        self.out = b""
        self.error: Err | None = None
        self.login: Login | None = None
        self.capabilities = 0
        self.status = int(Status.AUTOCOMMIT)

    def feed(self, data: bytes) -> None:
        """Add bytes received from the client."""
        self._reader.feed(data)

    @property
    def has_partial_message(self) -> bool:
        """Whether an incomplete message of the client is buffered."""
        return self._reader.has_partial_message

    @property
    def seq(self) -> int:
        """Sequence number of a response to the bytes received so far."""
        return self._reader.response_seq

    def take_leftover(self) -> bytes:
        """Return and discard the bytes after the last message: a TLS handshake or pipelined commands."""
        return self._reader.take_leftover()

    def encode_greeting(self) -> bytes:
        """Return the greeting packet, the first packet of the handshake."""
        greeting = Greeting(
            self._version,
            self._thread,
            self._challenge,
            self._offered,
            status=self.status,
            plugin=self._plugin,
        )
        return frame(greeting.encode(), 0)

    def change_user(self, body: bytes, capabilities: int, first: bytes, challenge: bytes) -> None:
        """Start a new login for a COM_CHANGE_USER command.

        A client that supports PLUGIN_AUTH responds to the new challenge; an older client has responded to the
        challenge of its first login.
        """
        self._reader = PacketReader(MAX_LOGIN, seq=1)
        self.capabilities, self.error = capabilities, None
        change = ChangeUser.parse(body, capabilities)
        plugin_auth = bool(capabilities & Capability.PLUGIN_AUTH)
        self._challenge = challenge if plugin_auth else first
        self.login = Login(
            capabilities,
            change.user,
            change.auth_response,
            change.database,
            "" if plugin_auth else NATIVE,
            change.collation,
        )
        self._steps = self._authenticate(self.login)

    def step(self) -> LoginStep:
        """Process the bytes received so far; raises `ProtocolError` for malformed messages."""
        if self._steps is None:
            self._steps = self._run_login()
        following = next(self._steps, None)
        if following is None:  # `error` is checked only here because the last step may have set it
            return LoginStep.REJECTED if self.error is not None else LoginStep.DONE
        return following

    def _send_message(self, payload: bytes) -> None:
        self.out += frame(payload, self._reader.seq)
        self._reader.seq += 1

    def _reject(self, errno: int, text: str) -> None:
        self.error = Err.of(errno, text)
        self._send_message(self.error.encode())

    def _read_message(self) -> Iterator[LoginStep]:
        while (message := self._reader.take()) is None:
            yield LoginStep.READ
        self._last_message = message

    def _run_login(self) -> Iterator[LoginStep]:
        yield from self._read_message()
        request = Login.parse(self._last_message)
        if isinstance(request, SslRequest):
            if not self._offered & Capability.SSL:
                raise ProtocolError("TLS was not offered", Errno.BAD_HANDSHAKE)
            self.secure = True
            yield LoginStep.TLS
            yield from self._read_message()
            request = Login.parse(self._last_message)
            if isinstance(request, SslRequest):
                raise ProtocolError("TLS was asked for twice", Errno.BAD_HANDSHAKE)
        elif self._require_tls:
            self._reject(
                Errno.SECURE_TRANSPORT_REQUIRED,
                "Connections using insecure transport are prohibited here",
            )
            return
        if request.capabilities & (Capability.COMPRESS | Capability.ZSTD) & ~self._offered:
            self._reject(Errno.NOT_SUPPORTED_YET, "Compression is not supported")
            return
        self.login, self.capabilities = request, request.capabilities & self._offered
        yield from self._authenticate(request)

    def _authenticate(self, login: Login) -> Iterator[LoginStep]:
        """Request the response that the user's plugin needs, and verify it."""
        secret = self._find_secret(login.user)
        # Unknown users pass through the same exchange, so that clients can't find out which users exist.
        plugin = secret.plugin if secret is not None else self._plugin
        answer = login.auth_response
        if login.plugin != plugin or len(self._challenge) != SCRAMBLE:
            if not login.capabilities & Capability.PLUGIN_AUTH:
                if plugin != NATIVE:
                    self._reject(Errno.NOT_SUPPORTED_YET, f"Client does not support {plugin}")
                    return
            else:
                self._send_message(auth_switch(plugin, self._challenge))
                yield from self._read_message()
                answer = self._last_message
        answer = answer.removesuffix(b"\0") if len(answer) == 1 else answer
        if plugin == NATIVE:
            verified = secret is not None and verify_native(answer, self._challenge, secret.double_sha1)
        elif secret is not None and (secret.passwordless or not answer):
            verified = secret.passwordless and not answer
        elif (
            secret is not None
            and secret.double_sha256
            and verify_sha2_response(answer, self._challenge, secret.double_sha256)
        ):
            self._send_message(b"\x01" + FAST_AUTH_OK)
            verified = True
        else:
            verified = False
            for step in self._full_exchange(secret):
                if isinstance(step, bool):
                    verified = step
                else:
                    yield step
        if not verified and self.error is None:
            given = "YES" if answer else "NO"
            self._reject(
                Errno.ACCESS_DENIED, f"Access denied for user '{login.user}' (using password: {given})"
            )

    def _full_exchange(self, secret: Secret | None) -> Iterator[LoginStep | bool]:
        """Request the password and verify it; the last value yielded is True if the password is correct."""
        self._send_message(b"\x01" + FULL_AUTH)
        yield from self._read_message()
        password = self._last_message
        if not self.secure:
            if password == REQUEST_PUBLIC_KEY:
                self._send_message(b"\x01" + self._rsa.public())
                yield from self._read_message()
                password = self._last_message
            decrypted = self._rsa.decrypt(password)
            password = b"" if decrypted is None else xor_with_challenge(decrypted, self._challenge)
        if not password.endswith(b"\0") or len(password) > MAX_PASSWORD:
            yield False
            return
        password = password[:-1]
        salt, rounds = (secret.salt, secret.rounds) if secret is not None else (b"0" * SCRAMBLE, CRYPT_ROUNDS)
        for step in crypt_steps(password, salt, rounds):
            if step is None:
                yield LoginStep.RESUME
            elif secret is None or not hmac.compare_digest(step, secret.crypt_hash):
                yield False
            else:
                secret.double_sha256 = sha2_hash(password)
                yield True

    def complete_login(self) -> bytes:
        """Return the OK packet that completes a login; raises `RuntimeError` if the login failed."""
        if self.error is not None or self.login is None:
            raise RuntimeError("the login has not succeeded")
        self._send_message(Ok(status=self.status).encode(self.capabilities))
        out, self.out = self.out, b""
        return out


# --- client side ------------------------------------------------------------------------------


class LoginRejectedError(Exception):
    """The server rejected the login."""

    def __init__(self, error: Err) -> None:
        super().__init__(f"{error.errno} ({error.state}): {error.text}")
        self.error = error


class ClientLogin:
    """Logs in to a server.

    `step` returns what the login needs next; the bytes in `out` must be sent before that.
    """

    def __init__(
        self,
        user: str,
        password: bytes,
        requested_capabilities: int,
        collation: int,
        tls: str = "off",
        database: str = "",
        public_key: bytes | None = None,
        ask_key: bool = False,
    ) -> None:
        """Start a login.

        `tls` is "off", "preferred" or "required".  `public_key` is the server's RSA key in PEM format; with
        `ask_key` the key is requested from the server if `public_key` is None.
        """
        self._user, self._password, self._requested_capabilities = user, password, requested_capabilities
        self._collation, self._tls, self._database = collation, tls, database
        self._key, self._request_key = public_key, ask_key
        self._reader = PacketReader(MAX_LOGIN, seq=0)
        self._steps = self._run_login()
        self._last_message = b""
        self.secure = False
        self.out = b""
        self.greeting: Greeting | None = None
        self.capabilities = 0
        self.ok: Ok | None = None

    def feed(self, data: bytes) -> None:
        """Add bytes received from the server."""
        self._reader.feed(data)

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether the server has sent bytes after the end of the login."""
        return self._reader.has_partial_message

    def step(self) -> LoginStep:
        """Process the bytes received so far; raises `LoginRejectedError` or `ProtocolError`."""
        return next(self._steps, LoginStep.DONE)

    def _send_message(self, payload: bytes) -> None:
        self.out += frame(payload, self._reader.seq)
        self._reader.seq += 1

    def _read_message(self) -> Iterator[LoginStep]:
        while (message := self._reader.take()) is None:
            yield LoginStep.READ
        if not message:
            raise ProtocolError("the server sent an empty packet during the login", Errno.BAD_HANDSHAKE)
        self._last_message = message

    def _run_login(self) -> Iterator[LoginStep]:
        yield from self._read_message()
        # Instead of a greeting the server can send an error: too many connections, or a host not allowed.
        if self._last_message[0] == 0xFF:
            raise LoginRejectedError(Err.parse(self._last_message))
        self.greeting = greeting = Greeting.parse(self._last_message)
        if not greeting.capabilities & Capability.PROTOCOL_41:
            raise ProtocolError("the server speaks a protocol before 4.1", Errno.BAD_HANDSHAKE)
        caps = self._requested_capabilities & greeting.capabilities
        if self._database:
            caps |= Capability.CONNECT_WITH_DB
        if self._tls != "off":
            if greeting.capabilities & Capability.SSL:
                caps |= Capability.SSL
                self._send_message(SslRequest(caps, MAX_PAYLOAD, self._collation).encode())
                yield LoginStep.TLS
                self.secure = True
            elif self._tls == "required":
                raise ProtocolError("the server offers no TLS", Errno.SECURE_TRANSPORT_REQUIRED)
        self.capabilities = caps
        plugin, challenge = greeting.plugin or NATIVE, greeting.challenge
        if plugin not in (NATIVE, CACHING_SHA2):
            plugin = CACHING_SHA2 if caps & Capability.PLUGIN_AUTH else NATIVE
        login = Login(
            caps, self._user, self._challenge_response(plugin, challenge), self._database, plugin,
            self._collation, MAX_PAYLOAD,
        )  # fmt: skip
        self._send_message(login.encode())
        for _ in range(8):  # at most 8 messages, so that a server can't prolong the login forever
            yield from self._read_message()
            first = self._last_message[0]
            if first == 0xFF:
                raise LoginRejectedError(Err.parse(self._last_message))
            if first == 0x00:
                self.ok = Ok.parse(self._last_message, caps)
                return
            if first == 0xFE:
                plugin, challenge = parse_auth_switch(self._last_message)
                if plugin not in (NATIVE, CACHING_SHA2):
                    raise ProtocolError(f"the server wants {plugin}", Errno.NOT_SUPPORTED_YET)
                self._send_message(self._challenge_response(plugin, challenge))
            elif first == 0x01 and plugin == CACHING_SHA2:
                yield from self._continue_exchange(self._last_message[1:], challenge)
            else:
                raise ProtocolError("the server answered a login as none is", Errno.BAD_HANDSHAKE)
        raise ProtocolError("the server's login has no end", Errno.BAD_HANDSHAKE)

    def _challenge_response(self, plugin: str, challenge: bytes) -> bytes:
        if len(challenge) != SCRAMBLE:
            raise ProtocolError(f"a challenge of {len(challenge)} bytes", Errno.BAD_HANDSHAKE)
        return (native_response if plugin == NATIVE else sha2_response)(self._password, challenge)

    def _continue_exchange(self, request: bytes, challenge: bytes) -> Iterator[LoginStep]:
        if request == FAST_AUTH_OK:
            return
        if request != FULL_AUTH:
            raise ProtocolError("the server asks for something unknown", Errno.BAD_HANDSHAKE)
        if self.secure:
            self._send_message(self._password + b"\0")
            return
        key = self._key
        if key is None:
            if not self._request_key:
                # A man in the middle could offer a key of its own and decrypt the password.
                raise ProtocolError("the server's public key is not known and not asked for")
            self._send_message(REQUEST_PUBLIC_KEY)
            yield from self._read_message()
            if self._last_message[0] == 0xFF:
                raise LoginRejectedError(Err.parse(self._last_message))
            key = self._last_message[1:]
        self._send_message(rsa_encrypt(self._password, challenge, key))
