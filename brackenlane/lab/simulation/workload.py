"""What clients ask for: objects of uneven popularity, and sessions that ask part after part."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from brackenlane.lab.simulation.site import ClassLoad, Site, TroubleKind
from brackenlane.routing.settings import RequestClass

GROUPS = 32
LEAST_WORK = 0.002  # transfer-seconds
STAY = 0.95  # chance that a client goes on to the next part


@dataclass(frozen=True, slots=True)
class Wanted:
    """One object."""

    name: str
    group: int
    work: float  # of one part, in transfer-seconds
    parts: int = 1


@dataclass(frozen=True, slots=True)
class FirstTry:
    """A client's first try."""

    at: float
    location: int
    cls: RequestClass
    obj: Wanted
    part: int


class Catalogue:
    """The objects of one class, the most popular first, for all locations or for one."""

    def __init__(self, load: ClassLoad, name: str, rng: random.Random) -> None:
        """name: part of each object's name."""
        scale = load.mean_work / math.exp(load.sigma**2 / 2)
        self.objects = [
            Wanted(
                f"{name}-{n}",
                rng.randrange(GROUPS),
                max(LEAST_WORK, scale * rng.lognormvariate(0.0, load.sigma)),
                load.parts,
            )
            for n in range(load.objects)
        ]
        self._scale_to(load.mean_work, [1 / (n + 1) ** load.zipf for n in range(load.objects)])
        self._rng = rng

    def _scale_to(self, mean: float, chances: list[float]) -> None:
        total = sum(chances)
        now = sum(c * o.work for c, o in zip(chances, self.objects, strict=True)) / total
        self.objects = [Wanted(o.name, o.group, o.work * mean / now, o.parts) for o in self.objects]
        self.chances = [c / total for c in chances]
        self._cumulative = list(itertools.accumulate(self.chances))

    def draw(self) -> Wanted:
        """One object, by popularity."""
        return self._rng.choices(self.objects, cum_weights=self._cumulative)[0]


class Workload:
    """All that is asked for at one site in one day, and what its caches keep when it begins."""

    def __init__(self, site: Site, start: float) -> None:
        """start: the clock at the start of the day."""
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

    def first_tries(self) -> list[FirstTry]:
        """All first tries of the day, in order."""
        tries = [
            one
            for location in range(len(self._site.locations))
            for load in self._site.classes
            for one in self._of_class(location, load)
        ]
        return sorted(tries, key=lambda one: one.at)

    def _of_class(self, location: int, load: ClassLoad) -> Iterator[FirstTry]:
        complete = sum(other.share for other in self._site.classes)
        rate = self._site.request_rate(location) * load.share / complete
        expected = sum(STAY**n for n in range(load.parts))
        begin = self._start
        end = self._start + self._site.seconds
        at = begin - (load.parts - 1) * load.gap
        while (at := at + self._rng.expovariate(rate / expected)) < end:
            yield from self._session(at, location, load, begin, end)

    def _session(
        self, at: float, location: int, load: ClassLoad, begin: float, end: float
    ) -> Iterator[FirstTry]:
        obj = self._draw(location, load, at)
        for part in range(obj.parts):
            if at >= end or (part and self._rng.random() > STAY):
                return
            if at >= begin:
                yield FirstTry(at, location, load.cls, obj, part)
            at += load.gap * self._rng.uniform(0.8, 1.2)

    def _draw(self, location: int, load: ClassLoad, at: float) -> Wanted:
        if times := self._oversize(load, at):
            return self._new_object(load, times * load.mean_work)
        if load.cls.uncached or self._rng.random() < load.once:
            return self._new_object(load, load.mean_work * self._rng.uniform(0.5, 1.5))
        catalogues = self.local[location] if self._rng.random() < load.local else self.shared
        return catalogues[load.cls.name].draw()

    def _new_object(self, load: ClassLoad, work: float) -> Wanted:
        self._new += 1
        return Wanted(f"{load.cls.name}-new-{self._new}", self._rng.randrange(GROUPS), work, 1)

    def _oversize(self, load: ClassLoad, at: float) -> float:
        """Times the usual size that a new object is now, 0 if there is none."""
        largest = max(self._site.classes, key=lambda other: other.mean_work)
        for trouble in self._site.troubles:
            begin = self._start + trouble.at
            if trouble.kind is TroubleKind.OVERSIZE and begin <= at < begin + trouble.seconds:
                struck = load is largest and self._rng.random() < trouble.part
                return trouble.size if struck else 0.0
        return 0.0

    def popular(self, location: int | None, share: float) -> list[tuple[Wanted, RequestClass]]:
        """The most asked for objects, the most popular first, until they make up a share of the bytes.

        location: what its own clients ask for; None: what those of all locations do.
        """
        places = len(self.local)
        own = self.local if location is None else [self.local[location]]
        found: list[tuple[float, Wanted, RequestClass]] = []
        for load in self._site.classes:
            if load.cls.uncached:
                continue
            wanted = [(1 - load.local, self.shared[load.cls.name])]
            part_of_all = load.local / places if location is None else load.local
            wanted += [(part_of_all, catalogues[load.cls.name]) for catalogues in own]
            for part, catalogue in wanted:
                found += [
                    (load.share * part * chance / obj.parts, obj, load.cls)
                    for chance, obj in zip(catalogue.chances, catalogue.objects, strict=True)
                ]
        found.sort(key=lambda item: item[0], reverse=True)
        complete = sum(rate * obj.work * obj.parts for rate, obj, _ in found)
        chosen = []
        covered = 0.0
        for rate, obj, cls in found:
            if covered >= share * complete:
                break
            covered += rate * obj.work * obj.parts
            chosen.append((obj, cls))
        return chosen
