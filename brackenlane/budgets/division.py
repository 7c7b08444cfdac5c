"""Max-min fair shares with floors: the same from the same facts, whoever works it out.

Pure. Amounts are in the budget's own unit (in flight, or a second).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Want:
    """What one member could use, and how much it counts."""

    demand: float
    weight: float = 1.0
    floor: float = 0.0  # it gets so much of its demand before anybody gets more than a floor


def divide(complete: float, wants: Mapping[str, Want], reserve: float = 0.0) -> dict[str, float]:
    """Shares of what is left of the whole beside the reserve for newcomers; O(n log n).

    No member gets more than its demand; none can get more but by one that has less, by weight, getting less
    still (max-min fairness; Bertsekas and Gallager 1992, 6.5.2). Floors that sum to more than the whole
    shrink alike.
    """
    left = max(0.0, complete - reserve)
    floors = {name: max(0.0, min(want.floor, want.demand)) for name, want in wants.items()}
    if (total := sum(floors.values())) > left:
        return {name: floor * left / total for name, floor in floors.items()}
    shares = dict(floors)
    left -= total
    # Filled up together from their floors, by weight; who has its demand drops out.
    heights = sorted(
        ((want.demand - floors[name]) / want.weight, name)
        for name, want in wants.items()
        if want.demand > floors[name] and want.weight > 0
    )
    weight, level = sum(wants[name].weight for _, name in heights), 0.0
    for height, name in heights:
        if (height - level) * weight >= left:
            level += left / weight
            left = 0.0
            break
        left -= (height - level) * weight
        level = height
        weight -= wants[name].weight
    for height, name in heights:
        shares[name] += min(height, level) * wants[name].weight
    return shares


def settled(
    old: Mapping[str, float], new: Mapping[str, float], complete: float, least: float = 0.02
) -> dict[str, float]:
    """New shares, but that a small change (a part of the whole for each of them) is not made.

    Nobody is kept above its new share unless there is room: a share that stays makes none smaller than its
    due.
    """
    bar = least * complete / max(1, len(new))
    found = {
        name: old[name] if name in old and abs(share - old[name]) < bar else share
        for name, share in new.items()
    }
    over = sum(found.values()) - max(complete, sum(new.values()))
    for name in sorted(found, key=lambda n: new[n] - found[n]):  # those kept furthest above it first
        if over <= 0:
            break
        if found[name] > new[name]:
            over -= found[name] - new[name]
            found[name] = new[name]
    return found
