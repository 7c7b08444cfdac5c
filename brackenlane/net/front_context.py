"""State and services shared by the components of one HTTP front."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenlane.admission.load_metrics import LoadMetrics
from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.metrics import RequestMetrics
from brackenlane.limits import Limits
from brackenlane.net.drain_state import DrainState
from brackenlane.net.poller import Poller


@dataclass(slots=True)
class FrontContext:
    """Context of one front. A reload replaces `limits`, so components must not keep a copy of it."""

    limits: Limits
    poller: Poller
    metrics: RequestMetrics
    figures: LoadMetrics = field(default_factory=LoadMetrics)
    drain: DrainState = field(default_factory=DrainState)
    memory: MemoryBudget = field(default_factory=MemoryBudget)
