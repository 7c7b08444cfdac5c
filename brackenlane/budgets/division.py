"""Max-min fair shares with floors.

The functions have no side effects and are deterministic, so all routers compute the same shares from the same
input. Amounts are in the budget's own unit (requests in flight, or requests per second).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """The demand of one member and its priority over others."""

    demand: float
    weight: float = 1.0  # shares above the floors are in proportion to the weights
    floor: float = 0.0  # granted, up to the demand, before any member gets more than its floor


def divide(total: float, requests: Mapping[str, ShareRequest], reserve: float = 0.0) -> dict[str, float]:
    """Return the shares of the total minus the reserve, which remains for new members; O(n log n).

    No member gets more than its demand, and no share can grow without reducing one that is, divided by its
    weight, not larger (max-min fairness; Bertsekas and Gallager, Data Networks, 1992, 6.5.2). Floors that sum
    to more than the available amount are reduced in proportion.
    """
    available = max(0.0, total - reserve)
    floors = {name: max(0.0, min(request.floor, request.demand)) for name, request in requests.items()}
    floor_sum = sum(floors.values())
    if floor_sum > available:
        return {name: floor * available / floor_sum for name, floor in floors.items()}
    return _fill(requests, floors, available - floor_sum)


def _fill(
    requests: Mapping[str, ShareRequest], floors: Mapping[str, float], available: float
) -> dict[str, float]:
    """Return the floors plus the available amount, divided in proportion to the weights (water-filling).

    A member's height is the level at which its demand is met; its share does not grow beyond that.
    """
    heights = sorted(
        ((request.demand - floors[name]) / request.weight, name)
        for name, request in requests.items()
        if request.demand > floors[name] and request.weight > 0
    )
    level = _water_level(heights, requests, available)
    shares = dict(floors)
    for height, name in heights:
        shares[name] += min(height, level) * requests[name].weight
    return shares


def _water_level(
    heights: list[tuple[float, str]], requests: Mapping[str, ShareRequest], available: float
) -> float:
    """Return the level that the available amount reaches; heights: heights and names, lowest first."""
    level = 0.0
    weight = sum(requests[name].weight for _, name in heights)  # sum over members whose demand is not met yet
    for height, name in heights:
        needed = (height - level) * weight
        if needed >= available:
            return level + available / weight
        available -= needed
        level = height
        weight -= requests[name].weight
    return level


def damp_changes(
    old: Mapping[str, float], new: Mapping[str, float], total: float, min_change: float = 0.02
) -> dict[str, float]:
    """Return the new shares, but the old share for each member whose share would change only slightly.

    min_change: smallest change that is made, as a fraction of the mean share. An old share above the
    new one is kept only if the sum stays within the total; no other share is reduced for it.
    """
    threshold = min_change * total / max(1, len(new))
    shares = {
        name: old[name] if name in old and abs(share - old[name]) < threshold else share
        for name, share in new.items()
    }
    excess = sum(shares.values()) - max(total, sum(new.values()))
    for name in sorted(shares, key=lambda name: new[name] - shares[name]):  # largest surplus first
        if excess <= 0:
            break
        if shares[name] > new[name]:
            excess -= shares[name] - new[name]
            shares[name] = new[name]
    return shares
