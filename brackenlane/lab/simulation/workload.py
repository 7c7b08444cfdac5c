"""The workload: objects of uneven popularity, and sessions that request the parts of an object in turn."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from brackenlane.lab.simulation.site import ClassLoad, FaultKind, Site
from brackenlane.routing.settings import RequestClass

GROUP_COUNT = 32
MIN_WORK = 0.002  # transfer-seconds
CONTINUE_PROBABILITY = 0.95  # probability that a client requests the next part


@dataclass(frozen=True, slots=True)
class ContentObject:
    """One object of the workload."""

    name: str
    group: int
    work: float  # transfer-seconds of one part
    parts: int = 1


@dataclass(frozen=True, slots=True)
class PlannedOperation:
    """The start of an operation: when and where a client sends its first request, and for what."""

    at: float
    location: int
    cls: RequestClass
    obj: ContentObject
    part: int


class Catalogue:
    """The objects of one class in order of popularity, shared by all locations or of one location."""

    def __init__(self, load: ClassLoad, name: str, rng: random.Random) -> None:
        """name: prefix of the names of the objects."""
        scale = load.mean_work / math.exp(load.sigma**2 / 2)
        self.objects = [
            ContentObject(
                f"{name}-{n}",
                rng.randrange(GROUP_COUNT),
                max(MIN_WORK, scale * rng.lognormvariate(0.0, load.sigma)),
                load.parts,
            )
            for n in range(load.objects)
        ]
        self._scale_to(load.mean_work, [1 / (n + 1) ** load.zipf for n in range(load.objects)])
        self._rng = rng

    def _scale_to(self, mean: float, probabilities: list[float]) -> None:
        total = sum(probabilities)
        current_mean = sum(c * o.work for c, o in zip(probabilities, self.objects, strict=True)) / total
        self.objects = [
            ContentObject(o.name, o.group, o.work * mean / current_mean, o.parts) for o in self.objects
        ]
        self.probabilities = [c / total for c in probabilities]
        self._cumulative = list(itertools.accumulate(self.probabilities))

    def draw(self) -> ContentObject:
        """Draw an object with a probability by its popularity."""
        return self._rng.choices(self.objects, cum_weights=self._cumulative)[0]


class Workload:
    """All operations at one site in one run, and the popular objects that its caches hold at the start."""

    def __init__(self, site: Site, start: float) -> None:
        """start: time of the clock at the start of the run."""
        self._site = site
        self._start = start
        self._rng = random.Random(f"{site.seed}/workload")
        self._new = 0
        self.shared = {load.cls.name: self._catalogue(load, "all") for load in site.classes}
        self.local = [
            {load.cls.name: self._catalogue(load, f"at{n}") for load in site.classes}
            for n in range(len(site.locations))
        ]

    def _catalogue(self, load: ClassLoad, where: str) -> Catalogue:
        return Catalogue(load, f"{load.cls.name}-{where}", self._rng)

    def planned_operations(self) -> list[PlannedOperation]:
        """Return all operations of the run in order of time."""
        operations = [
            operation
            for location in range(len(self._site.locations))
            for load in self._site.classes
            for operation in self._of_class(location, load)
        ]
        return sorted(operations, key=lambda operation: operation.at)

    def _of_class(self, location: int, load: ClassLoad) -> Iterator[PlannedOperation]:
        total_share = sum(other.share for other in self._site.classes)
        rate = self._site.request_rate(location) * load.share / total_share
        expected = sum(CONTINUE_PROBABILITY**n for n in range(load.parts))
        begin = self._start
        end = self._start + self._site.seconds
        at = begin - (load.parts - 1) * load.part_interval
        while (at := at + self._rng.expovariate(rate / expected)) < end:
            yield from self._session(at, location, load, begin, end)

    def _session(
        self, at: float, location: int, load: ClassLoad, begin: float, end: float
    ) -> Iterator[PlannedOperation]:
        obj = self._draw(location, load, at)
        for part in range(obj.parts):
            if at >= end or (part and self._rng.random() > CONTINUE_PROBABILITY):
                return
            if at >= begin:
                yield PlannedOperation(at, location, load.cls, obj, part)
            at += load.part_interval * self._rng.uniform(0.8, 1.2)

    def _draw(self, location: int, load: ClassLoad, at: float) -> ContentObject:
        if size_factor := self._oversize_factor(load, at):
            return self._new_object(load, size_factor * load.mean_work)
        if load.cls.uncached or self._rng.random() < load.one_time_share:
            return self._new_object(load, load.mean_work * self._rng.uniform(0.5, 1.5))
        catalogues = self.local[location] if self._rng.random() < load.local else self.shared
        return catalogues[load.cls.name].draw()

    def _new_object(self, load: ClassLoad, work: float) -> ContentObject:
        self._new += 1
        return ContentObject(f"{load.cls.name}-new-{self._new}", self._rng.randrange(GROUP_COUNT), work, 1)

    def _oversize_factor(self, load: ClassLoad, at: float) -> float:
        """Size of an oversize object as a multiple of the mean, or 0 if the request is for another one."""
        largest = max(self._site.classes, key=lambda other: other.mean_work)
        for fault in self._site.faults:
            begin = self._start + fault.at
            if fault.kind is FaultKind.OVERSIZE and begin <= at < begin + fault.seconds:
                is_oversize = load is largest and self._rng.random() < fault.share
                return fault.magnitude if is_oversize else 0.0
        return 0.0

    def most_popular(self, location: int | None, share: float) -> list[tuple[ContentObject, RequestClass]]:
        """Return the most popular objects in order until they make up a share of the requested bytes.

        location: count the requests of this location's clients; None: those of all locations.
        """
        location_count = len(self.local)
        local_catalogues = self.local if location is None else [self.local[location]]
        candidates: list[tuple[float, ContentObject, RequestClass]] = []
        for load in self._site.classes:
            if load.cls.uncached:
                continue
            catalogues_by_share = [(1 - load.local, self.shared[load.cls.name])]
            local_share = load.local / location_count if location is None else load.local
            catalogues_by_share += [
                (local_share, catalogues[load.cls.name]) for catalogues in local_catalogues
            ]
            for share_of_class, catalogue in catalogues_by_share:
                candidates += [
                    (load.share * share_of_class * probability / obj.parts, obj, load.cls)
                    for probability, obj in zip(catalogue.probabilities, catalogue.objects, strict=True)
                ]
        candidates.sort(key=lambda item: item[0], reverse=True)
        total = sum(rate * obj.work * obj.parts for rate, obj, _ in candidates)
        most_requested = []
        covered = 0.0
        for rate, obj, cls in candidates:
            if covered >= share * total:
                break
            covered += rate * obj.work * obj.parts
            most_requested.append((obj, cls))
        return most_requested
