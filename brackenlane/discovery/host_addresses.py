"""Addresses of host names: which one is in use, how seldom it changes, and when it is given up.

Pure. Times are Unix seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from brackenlane.discovery.records import NEVER, Policy, ip_address_of


@dataclass(slots=True)
class HostAddresses:
    """What is known of one host name."""

    addresses: tuple[str, ...] = ()  # of the last complete answer
    address: str | None = None  # the one in use
    received_at: float = NEVER
    moved_at: float = NEVER  # when the address in use replaced another one
    had_address: bool = False
    missing_since: float | None = None  # since when complete answers have no address
    error: str = ""  # reason why the last look-up failed


class HostAddressTable:
    """The addresses of all host names; methods that return bool tell if an address in use has changed."""

    def __init__(self, policy: Policy) -> None:
        self.by_host: dict[str, HostAddresses] = {}
        self._policy = policy

    def apply_answer(
        self, host: str, addresses: Iterable[str], now: float, is_current_dead: bool = False
    ) -> bool:
        """Apply a complete answer; with no address at all the one in use ends after the grace period.

        `is_current_dead`: nobody answers at the address in use, so that it is replaced without delay.
        """
        known = self.by_host.setdefault(host, HostAddresses())
        if is_current_dead:
            known.moved_at = NEVER
        known.addresses = tuple(addresses)
        known.received_at = now
        known.error = ""
        if known.addresses:
            known.missing_since = None
        elif known.missing_since is None:
            known.missing_since = now
        return self.settle(host, now)

    def settle(self, host: str, now: float) -> bool:
        """Choose the address in use: the present one while it is in the answer, a new one not too often."""
        known = self.by_host[host]
        if known.address in known.addresses:
            return False
        if not known.addresses:
            return self._drop_expired(known, now)
        # Hysteresis: with answers that alternate, a cache moves once an interval, not with each answer.
        if known.address and now - known.moved_at < self._policy.min_move_interval:
            return False
        _use(known, known.addresses[0], now)
        return True

    def replace_unreachable(self, host: str, address: str, now: float) -> bool:
        """Use another address of the last answer at once, since nobody answers at this one."""
        known = self.by_host.get(host)
        if known is None or known.address != address:
            return False
        others = [other for other in known.addresses if other != address]
        same = [other for other in known.addresses if other == address]
        known.moved_at = NEVER
        known.addresses = (*others, *same)
        if not others:
            return False
        _use(known, others[0], now)
        return True

    def record_unreachable(self, host: str, error: str) -> None:
        """Record that nobody answers at any address of an answer; the address in use stays."""
        self.by_host.setdefault(host, HostAddresses()).error = error

    def discard(self, host: str) -> None:
        """Discard what is known of a host name that no definition names any more."""
        self.by_host.pop(host, None)

    def restore(self, addresses: Mapping[str, str], saved_at: float, moved_at: float) -> None:
        """Use the addresses of a snapshot that was written at `saved_at` for host names without any."""
        for host, address in addresses.items():
            if host not in self.by_host:
                self.by_host[host] = HostAddresses((), address, saved_at, moved_at, True)

    def in_use(self) -> dict[str, str]:
        """Return the address in use of each host name that has one."""
        return {host: known.address for host, known in self.by_host.items() if known.address}

    def resolve(self, host: str) -> str | None:
        """Return the address of a host: itself if it is an address, else the one in use; None if unknown."""
        address = ip_address_of(host)
        if address is None and host in self.by_host:
            return self.by_host[host].address
        return address

    def cold_since(self, host: str) -> float:
        """Return when a host's address changed, so that its cache may be another machine; 0 if never."""
        known = self.by_host.get(host)
        return known.moved_at if known and known.moved_at > 0 else 0.0

    def next_due(self) -> float:
        """Return when `settle` changes an address without a new answer; infinity for never."""
        due = float("inf")
        for known in self.by_host.values():
            if not known.address:
                continue
            if known.missing_since is not None:
                due = min(due, known.missing_since + self._policy.removal_grace)
            elif known.addresses and known.address not in known.addresses:
                due = min(due, known.moved_at + self._policy.min_move_interval)
        return due

    def _drop_expired(self, known: HostAddresses, now: float) -> bool:
        if not known.address or known.missing_since is None:
            return False
        if now - known.missing_since < self._policy.removal_grace:
            return False
        known.address = None
        return True


def _use(known: HostAddresses, address: str, now: float) -> None:
    # Found again, or at another address, it may be another machine: it counts as cold.
    known.moved_at = now if known.had_address else NEVER
    known.address = address
    known.had_address = True
