"""Authenticated version strings: a view's position, a digest of the content, and a MAC over both.

    EPOCH.VERSION.DIGEST.MAC         e.g. 3.41.9f86d081884c7d65.c1a5e2b0d7f3a901

The MAC is keyed with a secret that all instances of an installation share.  A subscriber sends its version
strings when it reconnects, to any instance.  A string with a valid MAC proves that a view at that position
was published; a string without a valid MAC proves nothing.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from dataclasses import dataclass

from brambleusher.loadbalancing.view_consistency import ViewPosition

_FORM = re.compile(r"(\d{1,18})\.(\d{1,18})\.([0-9a-f]{16})\.([0-9a-f]{16})", re.ASCII)
DIGEST_BYTES = 8  # length of a content digest and of a MAC: 16 hex digits each in the version string
KEY_BYTES = 32
MIN_SECRET_BYTES = 16


def digest(data: bytes) -> str:
    """Return a digest of the data that is the same in every instance and after a restart."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class ProvenVersion:
    """The view position and content digest in a version string with a valid MAC."""

    position: ViewPosition
    digest: str


class MacSigner:
    """Creates and verifies version strings, and signs other texts, with a keyed MAC."""

    def __init__(self, secret: bytes) -> None:
        """Derive the key from a secret of at least `MIN_SECRET_BYTES`, the same in every instance."""
        self._key = hashlib.blake2b(secret, digest_size=KEY_BYTES, person=b"control seal").digest()

    def sign(self, text: str) -> str:
        """Return the MAC of a text, in hex."""
        keyed_hash = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES, key=self._key)
        return keyed_hash.hexdigest()

    def verify(self, text: str, mac: str) -> bool:
        """Return whether `mac` is the valid MAC of `text`."""
        return hmac.compare_digest(self.sign(text).encode(), mac.encode("utf-8", "replace"))

    def version(self, position: ViewPosition, content_digest: str) -> str:
        """Return the version string of content in the view at `position`."""
        text = f"{position.epoch}.{position.version}.{content_digest}"
        return f"{text}.{self.sign(text)}"

    def parse(self, version: str) -> ProvenVersion | None:
        """Return the content of a version string, or None if this installation did not create the string."""
        match = _FORM.fullmatch(version)
        if match is None or not self.verify(version[: match.start(4) - 1], match[4]):
            return None
        return ProvenVersion(ViewPosition(int(match[1]), int(match[2])), match[3])
