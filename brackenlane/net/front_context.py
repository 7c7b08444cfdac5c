"""Record of what every part of one HTTP front shares."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenlane.admission.figures import Figures
from brackenlane.core.metrics import RequestMetrics
from brackenlane.limits import Limits
from brackenlane.net.drain_state import DrainState
from brackenlane.net.poller import Poller


@dataclass(slots=True)
class FrontContext:
    """Shared by the parts of one front. `limits` is replaced by a reload, so it is read at each use."""

    limits: Limits
    poller: Poller
    metrics: RequestMetrics
    figures: Figures = field(default_factory=Figures)
    drain: DrainState = field(default_factory=DrainState)
