"""The state of one process in a handover (hot restart) between the processes of its router. Pure.

The state depends on the other running processes that listen at the same address, and on the order in which
the processes started:

| other running processes                              | state       |
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

    label: str  # the name of the state in log lines
    client_share: float  # share of the client connections and requests that this process accepts, 0 to 1
    is_handing_over: bool  # whether responses ask clients to reconnect, so that the later process gets them
    uses_cold_caches: bool  # whether requests may be sent to caches in slow start


class HandoverState(Enum):
    """The four handover states, each with its behavior."""

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

    is_serving: whether each recorded process serves clients, by process id in start order; it must contain
    `process_id`. alive: the processes that are running; it may contain `process_id` or not.
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
