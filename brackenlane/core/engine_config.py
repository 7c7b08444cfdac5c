"""Configuration with which a request engine is started or reconfigured."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.response_cache import ResponseCache
from brackenlane.limits import Limits
from brackenlane.routing import Router
from brackenlane.routing.settings import Settings


@dataclass(slots=True, frozen=True)
class EngineConfig:
    """Settings, limits and response cache that are applied together."""

    settings: Settings
    seed: int  # seed of the router's random number generator
    limits: Limits
    transfer_rate: float = 0.0  # rate of one transfer in bytes per second; 0: not configured
    response_cache: ResponseCache | None = None
    # Memory of the engine and its fronts; the one with which an engine is started remains in force.
    memory: MemoryBudget = field(default_factory=MemoryBudget)

    def create_router(self) -> Router:
        """Return a router with these settings, whose tables fit the limits."""
        return Router(self.settings, self.seed, self.limits.max_routing_table_size)
