"""The state of one process in a handover (hot restart) between the processes of its router. Pure.

It is the state of this process relative to the other live processes at the same address, which are ordered by
their start:

| other live processes                                 | state       |
| ---------------------------------------------------- | ----------- |
| none                                                 | ALONE       |
| at least one started later and serves clients        | RELIEVED    |
| at least one started later, none of them serves yet  | EXPECTING   |
| all of them started earlier                          | TAKING_OVER |
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class HandoverBehavior:
    """What a process does in one handover state."""

    label: str  # as the log shows it
    client_share: float  # part of the client connections and requests that this process accepts, 0 to 1
    is_handing_over: bool  # responses ask clients to reconnect, which leads them to the later process
    uses_cold_caches: bool  # whether requests may go to caches that started recently


class HandoverState(Enum):
    """The four states, each with the behavior that it prescribes."""

    ALONE = HandoverBehavior("alone", client_share=1.0, is_handing_over=False, uses_cold_caches=True)
    EXPECTING = HandoverBehavior(
        "expecting a successor", client_share=0.75, is_handing_over=False, uses_cold_caches=True
    )
    TAKING_OVER = HandoverBehavior(
        "taking over", client_share=0.75, is_handing_over=False, uses_cold_caches=True
    )
    RELIEVED = HandoverBehavior("relieved", client_share=0.25, is_handing_over=True, uses_cold_caches=False)


def handover_state(process_id: str, is_serving: Mapping[str, bool], alive: Set[str]) -> HandoverState:
    """Return the state of one process.

    is_serving: for each recorded process, in the order of their start, whether it serves clients; it contains
    `process_id`. alive: which of them run now; whether it contains `process_id` makes no difference.
    """
    start_order = list(is_serving)
    own_position = start_order.index(process_id)
    later = [other for other in start_order[own_position + 1 :] if other in alive]
    earlier = [other for other in start_order[:own_position] if other in alive]
    if any(is_serving[other] for other in later):
        return HandoverState.RELIEVED
    if later:
        return HandoverState.EXPECTING
    if earlier:
        return HandoverState.TAKING_OVER
    return HandoverState.ALONE
