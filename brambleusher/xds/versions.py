"""Version strings that can be believed: a view's place, a digest of the content, and a seal over both.

    EPOCH.VERSION.DIGEST.SEAL        e.g. 3.41.9f86d081884c7d65.c1a5e2b0d7f3a901

Instances of one installation share the secret.  A subscriber hands the string back when it
reconnects, to whichever instance; a string with a good seal proves that a view at that place was
handed out, and any other proves nothing.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from dataclasses import dataclass

from brambleusher.loadbalancing.view_consistency import ViewPosition

_FORM = re.compile(r"(\d{1,18})\.(\d{1,18})\.([0-9a-f]{16})\.([0-9a-f]{16})", re.ASCII)
DIGEST_BYTES = 8
MIN_SECRET = 16


def digest(data: bytes) -> str:
    """A short name for content; equal for equal content, in every instance and after a restart."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Claim:
    """What a version string with a good seal says."""

    place: ViewPosition
    digest: str


class Seal:
    """Makes and reads version strings."""

    def __init__(self, secret: bytes) -> None:
        """`secret`: at least 16 bytes, the same in every instance."""
        self._secret = hashlib.blake2b(secret, digest_size=32, person=b"control seal").digest()

    def mark(self, text: str) -> str:
        """The seal over a text."""
        mac = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES, key=self._secret)
        return mac.hexdigest()

    def good(self, text: str, mark: str) -> bool:
        """Whether `mark` is the seal over `text`."""
        return hmac.compare_digest(self.mark(text).encode(), mark.encode("utf-8", "replace"))

    def version(self, place: ViewPosition, content: str) -> str:
        """The version string of content, given as its digest, in the view at `place`."""
        text = f"{place.epoch}.{place.version}.{content}"
        return f"{text}.{self.mark(text)}"

    def read(self, version: str) -> Claim | None:
        """What a version string proves; None where it is not one of this installation's."""
        found = _FORM.fullmatch(version)
        if found is None or not self.good(version[: found.start(4) - 1], found[4]):
            return None
        return Claim(ViewPosition(int(found[1]), int(found[2])), found[3])
