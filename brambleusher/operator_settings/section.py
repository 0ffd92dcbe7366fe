"""Mappings of an operator file, read key by key, so that a fault names its key."""

from __future__ import annotations


class OperatorFileError(ValueError):
    """An operator file that can't be used; the message names the key."""


class Section:
    """One mapping of the file.

    Its methods raise `OperatorFileError` where a value is not of its kind.  `reject_unknown_keys` comes last.
    """

    def __init__(self, raw: object, path: str) -> None:
        if raw is None:
            raw = {}
        if not isinstance(raw, dict):
            raise OperatorFileError(f"{path or 'the file'} is not a mapping")
        self._left, self._path = dict(raw), path

    def name(self, key: str) -> str:
        """Return the key with the path to it."""
        return f"{self._path}.{key}" if self._path else key

    def has(self, key: str) -> bool:
        """Return whether a key stands in the mapping and has not been taken yet."""
        return key in self._left

    def take(self, key: str, default: object = None) -> object:
        """Take a value as it stands."""
        return self._left.pop(key, default)

    def text(self, key: str, default: str | None = None) -> str | None:
        """Take a text, not empty."""
        if key not in self._left:
            return default
        value = self._left.pop(key)
        if not isinstance(value, str) or not value:
            raise OperatorFileError(f"{self.name(key)} is not a text")
        return value

    def choice(self, key: str, among: tuple[str, ...], default: str = "") -> str:
        """Take one of a few texts."""
        value = self.text(key, default) or ""
        if value not in among:
            raise OperatorFileError(f"{self.name(key)} is not one of {', '.join(among)}")
        return value

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """Take a whole number within a range."""
        value = self._left.pop(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise OperatorFileError(f"{self.name(key)} is not a whole number from {low} to {high}")
        return value

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Take a number within a range."""
        value = self._left.pop(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise OperatorFileError(f"{self.name(key)} is not a number from {low:g} to {high:g}")
        return float(value)

    def name_list(self, key: str, most: int) -> tuple[str, ...]:
        """Take a list of texts, none of them twice."""
        value = self._left.pop(key, None)
        if value is None:
            return ()
        if not isinstance(value, list) or len(value) > most:
            raise OperatorFileError(f"{self.name(key)} is not a list of at most {most} names")
        for index, name in enumerate(value):
            if not isinstance(name, str) or not name:
                raise OperatorFileError(f"{self.name(key)}[{index}] is not a text")
            if name in value[:index]:
                raise OperatorFileError(f"{self.name(key)} names {name} twice")
        return tuple(value)

    def reject_unknown_keys(self) -> None:
        """Reject keys that nobody has taken."""
        for key in self._left:
            raise OperatorFileError(f"{self.name(key)} is unknown")
