"""State and services shared by the components of one HTTP front."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenlane.admission.figures import Figures
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
    figures: Figures = field(default_factory=Figures)
    drain: DrainState = field(default_factory=DrainState)
