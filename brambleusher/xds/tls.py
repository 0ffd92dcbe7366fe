"""Load certificates and keys from files, validate them together, and reload them when they change."""

from __future__ import annotations

import datetime as dt
import logging
import re
from dataclasses import dataclass
from pathlib import Path

import grpc
from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from brambleusher.xds.config import TlsFiles
from brambleusher.xds.errors import ControlError

log = logging.getLogger(__name__)

MAX_PEM_BYTES = 1024 * 1024
EXPIRY_WARNING = dt.timedelta(days=7)
_END = re.compile(rb"-----END [A-Z0-9 ]+-----")


@dataclass(frozen=True, slots=True)
class CertificateMaterial:
    """A certificate chain with its key, and the CA certificates that subscribers are verified against."""

    certificate: bytes
    key: bytes
    client_ca: bytes
    not_after: dt.datetime


def _read(path: str, name: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_PEM_BYTES)
    except OSError as error:
        raise ControlError(f"tls.{name}: {path}: {error.strerror}") from None


def _certificates(data: bytes, name: str) -> list[x509.Certificate]:
    """Return the certificates in a PEM file, and reject a partly written file."""
    try:
        certificates = x509.load_pem_x509_certificates(data)
    except ValueError:
        certificates = []
    if not certificates:
        raise ControlError(f"tls.{name} is not a certificate in PEM")
    if data.count(b"-----BEGIN ") != len(_END.findall(data)):
        raise ControlError(f"tls.{name} ends within a certificate")
    return certificates


def validate_material(
    certificate: bytes, key: bytes, client_ca: bytes, now: dt.datetime
) -> CertificateMaterial:
    """Validate a certificate chain, its key and the client CA together.

    Raises:
        ControlError: One of them is not in PEM format or not valid at `now`, or the key does not belong to
            the certificate.
    """
    chain = _certificates(certificate, "certificate")
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        raise ControlError("tls.key is not a private key in PEM without a password") from None
    authorities = _certificates(client_ca, "client_ca")
    for name, checked in (("certificate", chain[0]), *(("client_ca", issuer) for issuer in authorities)):
        if not checked.not_valid_before_utc <= now <= checked.not_valid_after_utc:
            raise ControlError(
                f"tls.{name} is valid from {checked.not_valid_before_utc} to {checked.not_valid_after_utc}"
            )
    key_format = (Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    try:
        public = chain[0].public_key()
    except (ValueError, UnsupportedAlgorithm):
        raise ControlError("tls.certificate has a key of a kind that is not known") from None
    if public.public_bytes(*key_format) != private.public_key().public_bytes(*key_format):
        raise ControlError("tls.key is not the key of tls.certificate")
    return CertificateMaterial(certificate, key, client_ca, chain[0].not_valid_after_utc)


class Certificates:
    """The certificates and key in use; `reload_if_changed` replaces them when the files change."""

    def __init__(self, files: TlsFiles) -> None:
        """Read and validate the files.

        Raises:
            ControlError: A file can't be read or is not valid.
        """
        self._files = files
        self.material = self._load()
        self.problem: str | None = None
        self.load_count = 1  # how many sets of certificates were loaded, including the first

    def _bytes(self) -> tuple[bytes, bytes, bytes]:
        files = self._files
        return (
            _read(files.certificate, "certificate"),
            _read(files.key, "key"),
            _read(files.client_ca, "client_ca"),
        )

    def _load(self) -> CertificateMaterial:
        return validate_material(*self._bytes(), dt.datetime.now(dt.UTC))

    def reload_if_changed(self) -> bool:
        """Read the files again, and use them if they are valid; log each distinct failure once.

        Returns:
            Whether the certificates or the key were replaced.
        """
        current = self.material
        try:
            files = self._bytes()
            if files == (current.certificate, current.key, current.client_ca):
                self.problem = None
                return False
            new_material = validate_material(*files, dt.datetime.now(dt.UTC))
        except ControlError as error:
            if self.problem != str(error):
                self.problem = str(error)
                log.warning("certificate reload failed", extra={"fields": {"reason": error}})
            return False
        self.material, self.problem = new_material, None
        self.load_count += 1
        log.info(
            "certificates reloaded", extra={"fields": {"valid_until": new_material.not_after.isoformat()}}
        )
        return True

    def expires_soon(self) -> bool:
        """Return whether the certificate in use expires within a week."""
        return self.material.not_after - dt.datetime.now(dt.UTC) < EXPIRY_WARNING

    def status(self) -> dict[str, object]:
        """Return the fields of `tls` in the status."""
        return {
            "valid_until": self.material.not_after.isoformat(),
            "problem": self.problem,
            "expires_soon": self.expires_soon(),
            "taken": self.load_count,
        }

    # --- for gRPC -------------------------------------------------------------------------------

    def _configuration(self) -> grpc.ServerCertificateConfiguration:
        material = self.material
        pair = (material.key, material.certificate)
        return grpc.ssl_server_certificate_configuration([pair], material.client_ca)

    def server_credentials(self) -> grpc.ServerCredentials:
        """Return server credentials that use the newest certificates at each TLS handshake."""
        in_use = [self.material]

        def fetch() -> grpc.ServerCertificateConfiguration | None:
            if in_use[0] is self.material:
                return None
            in_use[0] = self.material
            return self._configuration()

        return grpc.dynamic_ssl_server_credentials(
            self._configuration(), fetch, require_client_authentication=True
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Return credentials for calls to other instances, which use certificates of the same CA."""
        material = self.material
        return grpc.ssl_channel_credentials(material.client_ca, material.key, material.certificate)
