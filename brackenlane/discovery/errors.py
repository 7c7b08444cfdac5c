"""Errors of discovery. Those of stored forms are ValueErrors too, for callers that read several forms."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of all errors of this package."""


class StoredFormError(DiscoveryError, ValueError):
    """Something stored that can't be used."""


class InvalidDefinitionError(StoredFormError):
    """A stored cache with a missing, malformed or out-of-range field."""


class InvalidOrderError(StoredFormError):
    """A stored drain or restore with a missing, malformed or out-of-range field."""


class SnapshotError(StoredFormError):
    """A snapshot that can't be used."""


class SnapshotTooLargeError(SnapshotError):
    """A snapshot file of more bytes than any that was written."""


class SnapshotVersionError(SnapshotError):
    """A snapshot of a version that is unknown here."""


class SnapshotCorruptError(SnapshotError):
    """A snapshot that is damaged."""


class IncompleteReplyError(DiscoveryError):
    """A connection that an upstream closed before its reply was complete."""
