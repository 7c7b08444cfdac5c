"""Addresses of host names: which one is in use, when it may change and when it is dropped.

Pure. Times are Unix seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from brackenlane.discovery.records import NEVER, Policy, ip_address_of


@dataclass(slots=True)
class HostAddresses:
    """Address state of one host name."""

    addresses: tuple[str, ...] = ()  # addresses in the last complete answer
    address: str | None = None  # address in use
    received_at: float = NEVER
    moved_at: float = NEVER  # when the address in use last changed; NEVER: it may change at once
    had_address: bool = False  # whether any address was ever in use
    missing_since: float | None = None  # when complete answers began to have no address
    error: str = ""  # why the last look-up failed or its addresses were unreachable


class HostAddressTable:
    """The addresses of all host names. Methods that return bool tell whether the address in use changed."""

    def __init__(self, policy: Policy) -> None:
        self.by_host: dict[str, HostAddresses] = {}
        self._policy = policy

    def apply_answer(
        self, host: str, addresses: Iterable[str], now: float, is_current_unreachable: bool = False
    ) -> bool:
        """Apply a complete answer. If it has no address, the one in use is kept for the grace period.

        `is_current_unreachable`: the address in use accepts no connection, so it is replaced without delay.
        """
        state = self.by_host.setdefault(host, HostAddresses())
        if is_current_unreachable:
            state.moved_at = NEVER
        state.addresses = tuple(addresses)
        state.received_at = now
        state.error = ""
        if state.addresses:
            state.missing_since = None
        elif state.missing_since is None:
            state.missing_since = now
        return self.choose_address(host, now)

    def choose_address(self, host: str, now: float) -> bool:
        """Choose the address to use: the current one while answers have it, else a new one, not too often."""
        state = self.by_host[host]
        if state.address in state.addresses:
            return False
        if not state.addresses:
            return self._drop_expired(state, now)
        # With alternating answers the address changes at most once per interval, not with each answer.
        if state.address and now - state.moved_at < self._policy.min_move_interval:
            return False
        _set_address(state, state.addresses[0], now)
        return True

    def replace_unreachable(self, host: str, address: str, now: float) -> bool:
        """Replace an unreachable address in use by another one of the last answer, without delay."""
        state = self.by_host.get(host)
        if state is None or state.address != address:
            return False
        others = [other for other in state.addresses if other != address]
        rest = [other for other in state.addresses if other == address]
        state.moved_at = NEVER
        state.addresses = (*others, *rest)
        if not others:
            return False
        _set_address(state, others[0], now)
        return True

    def record_unreachable(self, host: str, error: str) -> None:
        """Record that no address of an answer accepts a connection; the address in use is kept."""
        self.by_host.setdefault(host, HostAddresses()).error = error

    def discard(self, host: str) -> None:
        """Discard the state of a host name that no definition refers to any more."""
        self.by_host.pop(host, None)

    def restore(self, addresses: Mapping[str, str], saved_at: float, moved_at: float) -> None:
        """Add the addresses of a snapshot that was written at `saved_at`, for hosts without state."""
        for host, address in addresses.items():
            if host not in self.by_host:
                self.by_host[host] = HostAddresses((), address, saved_at, moved_at, True)

    def in_use(self) -> dict[str, str]:
        """Return the address in use of each host name that has one."""
        return {host: state.address for host, state in self.by_host.items() if state.address}

    def resolve(self, host: str) -> str | None:
        """Return the host itself if it is an IP address, else its address in use; None if there is none."""
        address = ip_address_of(host)
        if address is None and host in self.by_host:
            return self.by_host[host].address
        return address

    def cold_since(self, host: str) -> float:
        """Return when a host's address changed, since when its cache may be another machine; 0 if never."""
        state = self.by_host.get(host)
        return state.moved_at if state and state.moved_at > 0 else 0.0

    def next_due(self) -> float:
        """Return when `choose_address` is next due without a new answer; infinity if never."""
        earliest = float("inf")
        for state in self.by_host.values():
            if not state.address:
                continue
            if state.missing_since is not None:
                earliest = min(earliest, state.missing_since + self._policy.removal_grace)
            elif state.addresses and state.address not in state.addresses:
                earliest = min(earliest, state.moved_at + self._policy.min_move_interval)
        return earliest

    def _drop_expired(self, state: HostAddresses, now: float) -> bool:
        if not state.address or state.missing_since is None:
            return False
        if now - state.missing_since < self._policy.removal_grace:
            return False
        state.address = None
        return True


def _set_address(state: HostAddresses, address: str, now: float) -> None:
    # A cache at a changed or restored address may be another machine, so it counts as cold.
    state.moved_at = now if state.had_address else NEVER
    state.address = address
    state.had_address = True
