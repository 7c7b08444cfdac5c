"""What can go wrong with the shared store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class: the store did not do what was asked, or holds what cannot be used."""


class StoreUnavailableError(StoreError):
    """The store cannot be reached, or the connection broke."""


class StoreTimeoutError(StoreUnavailableError):
    """The store did not answer in time."""


class StoreCommandError(StoreError):
    """The store refused a command."""


class StoreDataError(StoreError):
    """A value in the store cannot be decoded; another program may have written it."""
