"""Typed access to the values of parsed JSON: what cannot be used is refused by its path and value."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from brackenlane.routing.errors import RoutingError

T = TypeVar("T")

LARGEST = 1e12  # no figure that is given here is larger; products of a few stay finite
LONGEST_VALUE = 80  # characters of a value that an error shows


class SettingsError(RoutingError, ValueError):
    """A setting that cannot be used; the text names its path and its value, in one line."""

    def __init__(self, path: str, fault: str, *value: object) -> None:
        """value: what stands at the path; none where nothing does."""
        self.path = path
        super().__init__(": ".join([path, *map(_shown, value), fault]))


def _shown(value: object) -> str:
    """A value as JSON text, cut to a bounded length."""
    try:
        text = json.dumps(value)
    except (TypeError, ValueError, RecursionError):
        text = type(value).__name__
    return text if len(text) <= LONGEST_VALUE else f"{text[:LONGEST_VALUE]}..."


@dataclass(frozen=True, slots=True)
class Bounds:
    """The range of a number."""

    least: float = 0.0
    most: float = LARGEST
    above: bool = False  # whether `least` itself is out of range

    def fault(self, value: float) -> str | None:
        """What is wrong with a value; None where nothing is."""
        if value <= 0 < self.least < 1 or (self.above and value <= self.least):
            return f"must be above {min(0.0, self.least):g}"
        if value < self.least:
            return f"must be at least {self.least:g}"
        if value > self.most:
            return f"must be at most {self.most:g}"
        return None


NOT_NEGATIVE = Bounds()
ABOVE_ZERO = Bounds(above=True)


def read_number(value: object, path: str, bounds: Bounds = NOT_NEGATIVE) -> float:
    """A finite number within bounds; a truth value is none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise SettingsError(path, "must be a number", value)
    if isinstance(value, float) and not math.isfinite(value):
        raise SettingsError(path, "must be a finite number", value)
    if fault := bounds.fault(value):
        raise SettingsError(path, fault, value)
    return value


def read_integer(value: object, path: str, bounds: Bounds = NOT_NEGATIVE) -> int:
    """A whole number within bounds; 2.0 is one, since JSON does not tell it from 2."""
    number = read_number(value, path, bounds)
    if number != int(number):
        raise SettingsError(path, "must be a whole number", value)
    return int(number)


def read_flag(value: object, path: str) -> bool:
    """A truth value; 0 and 1 are none."""
    if not isinstance(value, bool):
        raise SettingsError(path, "must be true or false", value)
    return value


def read_text(value: object, path: str) -> str:
    """Text that is not empty."""
    if not isinstance(value, str) or not value:
        raise SettingsError(path, "must be text that is not empty", value)
    return value


def read_items(value: object, path: str, read: Callable[[object, str], T]) -> tuple[T, ...]:
    """A list whose every value one function can read."""
    if not isinstance(value, (list, tuple)):
        raise SettingsError(path, "must be a list", value)
    return tuple(read(item, f"{path}[{place}]") for place, item in enumerate(value))


def read_names(value: object, path: str) -> tuple[str, ...]:
    """A list of names, each of which stands there once."""
    names = read_items(value, path, read_text)
    for place in repeats(names):
        raise SettingsError(f"{path}[{place}]", "stands twice", names[place])
    return names


def repeats(names: Iterable[str]) -> Iterator[int]:
    """The places of names that stand further ahead as well."""
    seen: set[str] = set()
    for place, name in enumerate(names):
        if name in seen:
            yield place
        seen.add(name)


class Section:
    """One JSON object. Keys that nobody asks for are skipped."""

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(path, "must be an object", value)
        self.path = path
        self._values: dict[str, Any] = value

    def path_of(self, name: str) -> str:
        """The path of a key."""
        return f"{self.path}.{name}"

    def required(self, name: str) -> object:
        """The value of a key that must be there."""
        if name not in self._values:
            raise SettingsError(self.path_of(name), "missing")
        return self._values[name]

    def section(self, name: str) -> Section:
        """The object of a key; an empty one where the key is absent."""
        return Section(self._values.get(name, {}), self.path_of(name))

    def number(self, name: str, absent: float | None = None, bounds: Bounds = NOT_NEGATIVE) -> float:
        """The number of a key; absent: what counts where there is none (None: it must be there)."""
        if absent is not None and name not in self._values:
            return absent
        return read_number(self.required(name), self.path_of(name), bounds)

    def integer(self, name: str, absent: int, bounds: Bounds = NOT_NEGATIVE) -> int:
        """The whole number of a key."""
        return read_integer(self._values.get(name, absent), self.path_of(name), bounds)

    def flag(self, name: str) -> bool:
        """The truth value of a key; false where the key is absent."""
        return read_flag(self._values.get(name, False), self.path_of(name))

    def text(self, name: str) -> str:
        """The text of a key that must be there."""
        return read_text(self.required(name), self.path_of(name))

    def names(self, name: str) -> tuple[str, ...]:
        """The names of a key; none where the key is absent."""
        return read_names(self._values.get(name, ()), self.path_of(name))

    def items(self, name: str, read: Callable[[object, str], T]) -> tuple[T, ...]:
        """The list of a key; an empty one where the key is absent."""
        return read_items(self._values.get(name, ()), self.path_of(name), read)

    def items_for_each(
        self, name: str, read: Callable[[object, str], T], count: int, owner: str
    ) -> tuple[T, ...]:
        """The list of a key with one value for each of `count` owners; empty where none is told."""
        found = self.items(name, read)
        if found and len(found) != count:
            fault = f"{count} values are needed, one for each of {owner}"
            raise SettingsError(self.path_of(name), fault, self._values[name])
        return found

    def word(self, name: str, arguments: Mapping[str, T], absent: str) -> T:
        """What the word of a key stands for, out of those that are allowed."""
        value = self._values.get(name, absent)
        if not isinstance(value, str) or value not in arguments:
            raise SettingsError(self.path_of(name), f"must be one of {', '.join(arguments)}", value)
        return arguments[value]
