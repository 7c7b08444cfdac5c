"""Errors of cache discovery. Errors of stored data are also ValueErrors, for callers that decode any kind."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of all errors of this package."""


class StoredFormError(DiscoveryError, ValueError):
    """Stored data that can't be decoded."""


class InvalidDefinitionError(StoredFormError):
    """A stored cache definition with a missing, malformed or out-of-range field."""


class InvalidOrderError(StoredFormError):
    """A stored drain or restore with a missing, malformed or out-of-range field."""


class TooManyOrdersError(DiscoveryError):
    """An order that cannot be kept, since too many caches are drained."""


class SnapshotError(StoredFormError):
    """A snapshot that can't be used."""


class SnapshotTooLargeError(SnapshotError):
    """A snapshot file that exceeds the maximum size."""


class SnapshotVersionError(SnapshotError):
    """A snapshot in an unsupported format version."""


class SnapshotCorruptError(SnapshotError):
    """A snapshot with a wrong checksum or malformed content."""


class InvalidNameError(DiscoveryError, ValueError):
    """A text that is not the domain name of a host."""


class IncompleteReplyError(DiscoveryError):
    """A TCP connection that an upstream closed before its reply was complete."""
