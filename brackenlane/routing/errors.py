"""Exceptions of the routing package: a base class, and a subclass for each kind of unusable input.

Each message names the location of the fault and the value that caused it. An underlying exception is
chained with `raise ... from`.
"""

from __future__ import annotations


class RoutingError(Exception):
    """Base class of the errors that this package raises."""


class InvalidSettingError(RoutingError, ValueError):
    """A field of a settings record is out of its range or contradicts another field."""

    def __init__(self, field: str, fault: str) -> None:
        """Build the message.

        field: name of the field, preceded by the name of its request class where it belongs to one.
        fault: what is wrong, with the value.
        """
        self.field = field
        super().__init__(f"setting {field}: {fault}")


class WireError(RoutingError):
    """A line of the simulator's protocol cannot be parsed."""

    def __init__(self, line_number: int, fault: str) -> None:
        """Build the message.

        line_number: number of the line, from 1. fault: what is wrong, with the value.
        """
        self.line_number = line_number
        super().__init__(f"line {line_number}: {fault}")
