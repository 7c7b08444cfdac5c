"""Errors of the shared store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class: a command failed, or a value in the store is invalid."""


class StoreUnavailableError(StoreError):
    """The store cannot be reached, or the connection to it broke."""


class StoreTimeoutError(StoreUnavailableError):
    """The store did not reply within the timeout."""


class StoreCommandError(StoreError):
    """The store rejected a command."""


class StoreDataError(StoreError):
    """A value in the store cannot be decoded; another program may have written it."""
