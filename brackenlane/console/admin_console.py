"""Executes the commands of the console. Operators' scripts may use the commands and match their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from brackenlane.admission.load_metrics import LoadMetrics
from brackenlane.clock import steady_time
from brackenlane.coldstart.phases import StartupPhases
from brackenlane.console import views
from brackenlane.console.cache_health import CacheHealth
from brackenlane.discovery.errors import TooManyOrdersError
from brackenlane.discovery.registry import Registry
from brackenlane.store.event_codec import MAX_GROUP, NO_GROUP, OrderGiven, PurgeRequested, StoreEvent
from brackenlane.store.publisher import PublishResult
from brackenlane.store.shared_store import SharedStore

HELP = """boxes               list the boxes with state and health; boxes -v: who names them, and why
why BOX             why a box stands as it does, and what each source says of it
drain BOX           send a box nothing new
restore BOX         take a drained box back
purge object OBJ    nothing older than now is served of an object
purge group N       the same of a group
start               the phase of the start, since when, and the store's state
load                how busy the doorman is, and what it refused at its door
help                this text
quit                leave
"""
MAX_SHOWN_COMMAND = 60  # characters; an unknown command is truncated to them in the answer


PUBLISH_NOTES = {
    PublishResult.WRITTEN: "",
    PublishResult.QUEUED: "the store is away: the others hear of it when it is back\n",
    PublishResult.REFUSED: "the store is away and too many changes wait for it: give this again later\n",
}


# The notes on a change that is not on disk, by what has become of it at the store.
NOT_STORED_NOTES = {
    None: "not written to disk: a restart forgets it\n",
    PublishResult.WRITTEN: "",
    PublishResult.QUEUED: "not written to disk: a restart before that forgets it\n",
    PublishResult.REFUSED: "not written to disk: a restart forgets it\n",
}


class ChangeStorage(Protocol):
    """Keeps changes over a restart of this router."""

    async def store_change(self) -> bool:
        """Write the changes made so far to disk; return whether they are there."""


@dataclass(frozen=True, slots=True)
class Persistence:
    """Where the console's changes are kept: the shared store, if there is one, and this router's disk."""

    store: SharedStore | None
    disk: ChangeStorage


@dataclass(frozen=True, slots=True)
class ConsoleSources:
    """The components of the router that the console shows and changes."""

    registry: Registry
    persistence: Persistence
    health: CacheHealth
    figures: LoadMetrics
    phases: StartupPhases


class AdminConsole:
    """Executes the console commands of one router."""

    def __init__(self, router_name: str, sources: ConsoleSources) -> None:
        self._router_name = router_name
        self._sources = sources
        self._registry = sources.registry
        self._store = sources.persistence.store
        self._disk = sources.persistence.disk

    async def execute(self, line: str) -> str:
        """Execute one command and return the lines of its answer."""
        words = line.split()
        answer = self._show(words)
        if answer is None:
            answer = await self._change(words)
        if answer is None:
            shown = line.strip()[:MAX_SHOWN_COMMAND]
            return f"not understood: {shown!r}; 'help' lists the commands\n"
        return answer

    def _show(self, words: list[str]) -> str | None:
        """Execute a command that only reads state; return None for any other command."""
        sources = self._sources
        now = steady_time()
        answer = None
        match words:
            case ["boxes"]:
                answer = views.show_caches(self._registry.merge, sources.health, now)
            case ["boxes", "-v"]:
                answer = views.show_caches_with_sources(self._registry.merge, sources.health, now)
            case ["why", cache_id]:
                answer = self._explain(cache_id, now)
            case ["load"]:
                answer = views.show_load(sources.figures)
            case ["start"]:
                answer = views.show_startup(sources.phases, self._store, now)
            case ["help"]:
                answer = HELP
        return answer

    async def _change(self, words: list[str]) -> str | None:
        """Execute a command that changes state; return None for any other command."""
        match words:
            case ["drain", cache_id]:
                return await self._issue_order(cache_id, drained=True)
            case ["restore", cache_id]:
                return await self._issue_order(cache_id, drained=False)
            case ["purge", "object", obj]:
                return await self._purge(obj, NO_GROUP, obj)
            case ["purge", "group", number] if _is_group(number):
                group = int(number)
                return await self._purge("", group, f"group {group}")
        return None

    def _explain(self, cache_id: str, now: float) -> str:
        lines = self._registry.merge.explain(cache_id, now)
        if not lines:
            return _unknown_cache(cache_id)
        return "".join(f"{line}\n" for line in lines)

    async def _issue_order(self, cache_id: str, drained: bool) -> str:
        try:
            order = self._registry.drain(cache_id, drained, f"the console of {self._router_name}")
        except TooManyOrdersError as error:
            return f"not done: {error}; restore some first\n"
        if order is None:
            return _unknown_cache(cache_id)
        action = "drained" if drained else "restored"
        return await self._publish(f"{cache_id} {action}\n", OrderGiven(cache_id, order))

    async def _purge(self, obj: str, group: int, target: str) -> str:
        now = steady_time()
        self._registry.purge(obj, group, now)
        return await self._publish(f"purged {target}\n", PurgeRequested(obj, group, now))

    async def _publish(self, answer: str, event: StoreEvent) -> str:
        """Publish a change to the other routers and store it; return the answer with notes on what failed."""
        result = await self._store.publisher.publish(event) if self._store else None
        if result:
            answer += PUBLISH_NOTES[result]
        if not await self._disk.store_change():
            answer += NOT_STORED_NOTES[result]
        return answer


def _is_group(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= MAX_GROUP


def _unknown_cache(cache_id: str) -> str:
    return f"no such box: {cache_id}\n"
