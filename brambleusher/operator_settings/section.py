"""Typed access to the mappings of an operator file, with errors that name the key."""

from __future__ import annotations


class OperatorFileError(ValueError):
    """An operator file is invalid; the message names the key."""


class Section:
    """A mapping of the operator file, whose keys are removed as they are read.

    Methods raise `OperatorFileError` if a value has the wrong type. After all known keys have been read, the
    caller must call `reject_unknown_keys`.
    """

    def __init__(self, raw: object, path: str) -> None:
        if raw is None:
            raw = {}
        if not isinstance(raw, dict):
            raise OperatorFileError(f"{path or 'the file'} is not a mapping")
        self._remaining, self._path = dict(raw), path

    def name(self, key: str) -> str:
        """Return the full path of a key."""
        return f"{self._path}.{key}" if self._path else key

    def has(self, key: str) -> bool:
        """Return whether the mapping has a key that has not been read yet."""
        return key in self._remaining

    def take(self, key: str, default: object = None) -> object:
        """Remove a key and return its value unchecked."""
        return self._remaining.pop(key, default)

    def text(self, key: str, default: str | None = None) -> str | None:
        """Remove a key and return its value, a non-empty string."""
        if key not in self._remaining:
            return default
        value = self._remaining.pop(key)
        if not isinstance(value, str) or not value:
            raise OperatorFileError(f"{self.name(key)} is not a text")
        return value

    def choice(self, key: str, choices: tuple[str, ...], default: str = "") -> str:
        """Remove a key and return its value, one of the strings in `choices`."""
        value = self.text(key, default) or ""
        if value not in choices:
            raise OperatorFileError(f"{self.name(key)} is not one of {', '.join(choices)}")
        return value

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """Remove a key and return its value, an integer from `low` to `high`."""
        value = self._remaining.pop(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise OperatorFileError(f"{self.name(key)} is not a whole number from {low} to {high}")
        return value

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Remove a key and return its value, a number from `low` to `high`."""
        value = self._remaining.pop(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise OperatorFileError(f"{self.name(key)} is not a number from {low:g} to {high:g}")
        return float(value)

    def name_list(self, key: str, max_items: int) -> tuple[str, ...]:
        """Remove a key and return its value, a list of at most `max_items` distinct non-empty strings."""
        value = self._remaining.pop(key, None)
        if value is None:
            return ()
        if not isinstance(value, list) or len(value) > max_items:
            raise OperatorFileError(f"{self.name(key)} is not a list of at most {max_items} names")
        for index, name in enumerate(value):
            if not isinstance(name, str) or not name:
                raise OperatorFileError(f"{self.name(key)}[{index}] is not a text")
            if name in value[:index]:
                raise OperatorFileError(f"{self.name(key)} names {name} twice")
        return tuple(value)

    def reject_unknown_keys(self) -> None:
        """Raise an error if the mapping has a key that has not been read."""
        for key in self._remaining:
            raise OperatorFileError(f"{self.name(key)} is unknown")
