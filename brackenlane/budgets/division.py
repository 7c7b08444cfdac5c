"""Max-min fair shares with floors: the same result from the same input, whoever computes it.

Pure. Amounts are in the budget's own unit (requests in flight, or per second).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """What one member could use, and how much it counts."""

    demand: float
    weight: float = 1.0
    floor: float = 0.0  # granted, up to the demand, before any member gets more than its floor


def divide(total: float, requests: Mapping[str, ShareRequest], reserve: float = 0.0) -> dict[str, float]:
    """Return the shares of the total less the reserve (kept for new members); O(n log n).

    No member gets more than its demand, and none could get more unless another with less, by weight, got less
    still (max-min fairness; Bertsekas and Gallager, Data Networks, 1992, 6.5.2). Floors that sum to more than
    what is available shrink in proportion.
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
    """Return the floors, raised together in proportion to the weights (water-filling) until nothing is left.

    A member's height is the level at which its demand is met: from there on it takes no more.
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
    """Return the level to which the available amount fills members of these heights, lowest first."""
    level = 0.0
    weight = sum(requests[name].weight for _, name in heights)  # of the members not yet filled
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
    """Return the new shares, but with the old one wherever the change is small.

    min_change: a part of the mean share. A member keeps more than its new share only as far as there is room:
    nobody else's share shrinks for it.
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
