"""What a request engine is started or reconfigured with."""

from __future__ import annotations

from dataclasses import dataclass

from brackenlane.core.response_cache import ResponseCache
from brackenlane.limits import Limits
from brackenlane.routing.settings import Settings


@dataclass(slots=True, frozen=True)
class EngineConfig:
    """Settings, limits and response cache that are in force together."""

    settings: Settings
    seed: int  # of the router's random numbers
    limits: Limits
    transfer_rate: float = 0.0  # bytes per second of one transfer; 0: not configured
    response_cache: ResponseCache | None = None
