"""Typed access to parsed JSON: an invalid value is rejected with an error that shows its path and the value.

The functions have no side effects. A path locates a JSON value in its document, for example
`settings.Classes[1].TargetS`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from brackenlane.routing.errors import RoutingError

T = TypeVar("T")

LARGEST_NUMBER = 1e12  # largest number in a settings object, so that products of a few remain finite
LONGEST_EXCERPT = 80  # longest part of a value that an error shows, in characters


class SettingsError(RoutingError, ValueError):
    """A value of a settings object is invalid; the message is one line with its path and the value."""

    def __init__(self, path: str, fault: str, *value: object) -> None:
        """Build the message.

        path: path of the value. fault: what is wrong. value: the value found, omitted if there is none.
        """
        self.path = path
        super().__init__(": ".join([path, *map(_excerpt, value), fault]))


def _excerpt(value: object) -> str:
    """Return a value as JSON text, cut to a bounded length."""
    try:
        text = json.dumps(value)
    except (TypeError, ValueError, RecursionError):
        text = type(value).__name__
    return text if len(text) <= LONGEST_EXCERPT else f"{text[:LONGEST_EXCERPT]}..."


@dataclass(frozen=True, slots=True)
class Bounds:
    """The range of a number; it includes its maximum, and its minimum unless `excludes_minimum`."""

    minimum: float = 0.0
    maximum: float = LARGEST_NUMBER
    excludes_minimum: bool = False

    def violation(self, value: float) -> str | None:
        """Describe how a value violates the range; None if it is in range."""
        # A minimum between 0 and 1 means "any positive number", so for 0 or less the message says that.
        if value <= 0 < self.minimum < 1:
            return "must be above 0"
        if self.excludes_minimum and value <= self.minimum:
            return f"must be above {self.minimum:g}"
        if value < self.minimum:
            return f"must be at least {self.minimum:g}"
        if value > self.maximum:
            return f"must be at most {self.maximum:g}"
        return None


NOT_NEGATIVE = Bounds()
ABOVE_ZERO = Bounds(excludes_minimum=True)


def read_number(value: object, path: str, bounds: Bounds = NOT_NEGATIVE) -> float:
    """Return a finite number within bounds; booleans are rejected."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise SettingsError(path, "must be a number", value)
    if isinstance(value, float) and not math.isfinite(value):
        raise SettingsError(path, "must be a finite number", value)
    violation = bounds.violation(value)
    if violation:
        raise SettingsError(path, violation, value)
    return value


def read_integer(value: object, path: str, bounds: Bounds = NOT_NEGATIVE) -> int:
    """Return a whole number within bounds; 2.0 is accepted, as JSON makes it equal to 2 (RFC 8259)."""
    number = read_number(value, path, bounds)
    if number != int(number):
        raise SettingsError(path, "must be a whole number", value)
    return int(number)


def read_flag(value: object, path: str) -> bool:
    """Return a boolean; 0 and 1 are rejected."""
    if not isinstance(value, bool):
        raise SettingsError(path, "must be true or false", value)
    return value


def read_text(value: object, path: str) -> str:
    """Return a string that is not empty."""
    if not isinstance(value, str) or not value:
        raise SettingsError(path, "must be text that is not empty", value)
    return value


def read_items(value: object, path: str, read: Callable[[object, str], T]) -> tuple[T, ...]:
    """Return the items of a list as a tuple, each converted by `read` from the item and its path."""
    if not isinstance(value, (list, tuple)):
        raise SettingsError(path, "must be a list", value)
    return tuple(read(item, f"{path}[{index}]") for index, item in enumerate(value))


def read_names(value: object, path: str) -> tuple[str, ...]:
    """Return a list of distinct names."""
    names = read_items(value, path, read_text)
    for index in duplicate_indexes(names):
        raise SettingsError(f"{path}[{index}]", "stands twice", names[index])
    return names


def duplicate_indexes(names: Iterable[str]) -> Iterator[int]:
    """Yield the index of each name that is equal to an earlier one."""
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield index
        seen.add(name)


class Section:
    """A JSON object and its path. Keys that are never read are ignored.

    All methods that read a value raise SettingsError if it is invalid.
    """

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(path, "must be an object", value)
        self.path = path
        self._values: dict[str, Any] = value

    def path_of(self, key: str) -> str:
        """Return the path of a key."""
        return f"{self.path}.{key}"

    def required(self, key: str) -> object:
        """Return the unchecked value of a key that must be present."""
        if key not in self._values:
            raise SettingsError(self.path_of(key), "missing")
        return self._values[key]

    def section(self, key: str) -> Section:
        """Return the object of a key; an empty one if the key is absent."""
        return Section(self._values.get(key, {}), self.path_of(key))

    def number(self, key: str, default: float | None = None, bounds: Bounds = NOT_NEGATIVE) -> float:
        """Return the number of a key, or the default if the key is absent; without one it must be present."""
        if default is not None and key not in self._values:
            return default
        return read_number(self.required(key), self.path_of(key), bounds)

    def integer(self, key: str, default: int, bounds: Bounds = NOT_NEGATIVE) -> int:
        """Return the whole number of a key, or the default if the key is absent."""
        return read_integer(self._values.get(key, default), self.path_of(key), bounds)

    def flag(self, key: str) -> bool:
        """Return the boolean of a key; False if the key is absent."""
        return read_flag(self._values.get(key, False), self.path_of(key))

    def text(self, key: str) -> str:
        """Return the string of a key that must be present."""
        return read_text(self.required(key), self.path_of(key))

    def names(self, key: str) -> tuple[str, ...]:
        """Return the distinct names of a key; an empty tuple if the key is absent."""
        return read_names(self._values.get(key, ()), self.path_of(key))

    def items(self, key: str, read: Callable[[object, str], T]) -> tuple[T, ...]:
        """Return the items of a key, each converted by `read`; an empty tuple if the key is absent."""
        return read_items(self._values.get(key, ()), self.path_of(key), read)

    def items_for_each(
        self, key: str, read: Callable[[object, str], T], count: int, owner: str
    ) -> tuple[T, ...]:
        """Return a list that has one item for each of `count` owners; a list that is absent is empty.

        owner: what the owners are, for the error message.
        """
        items = self.items(key, read)
        if items and len(items) != count:
            fault = f"{count} values are needed, one for each of {owner}"
            raise SettingsError(self.path_of(key), fault, self._values[key])
        return items

    def word(self, key: str, meanings: Mapping[str, T], default: str) -> T:
        """Return the meaning of the word at a key; `default` is the word used if the key is absent."""
        word = self._values.get(key, default)
        if not isinstance(word, str) or word not in meanings:
            raise SettingsError(self.path_of(key), f"must be one of {', '.join(meanings)}", word)
        return meanings[word]
