"""Sending times that nobody tells: by object and the mean of each class, learned from answers.

Pure. Times are in seconds at the pace of one transfer alone.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence

from brackenlane.routing.settings import RequestClass

PRIOR = 4.0  # answers that the first guess of a mean counts as


class Sizes:
    """What one router has learned of sizes; objects that were seen longest ago are forgotten first."""

    def __init__(self, classes: Sequence[RequestClass], tick: float, retained: int) -> None:
        """tick: the least time told apart; kept: objects remembered, at most."""
        self._tick, self._kept = tick, retained
        # By object: its parts are of one size.
        self.by_object: OrderedDict[str, float] = OrderedDict()
        # Means by class: what comes in parts is large, and an aim is cut to it.
        self._longest = {c.name: c.time_limit for c in classes}
        self.means = {c.name: c.latency_objective * (0.8 if c.in_parts else 0.25) for c in classes}
        self._seen = False  # in answers
        self._weighed = dict.fromkeys(self.means, PRIOR)  # answers that a mean rests on, the guess among them

    @property
    def largest(self) -> float:
        """The largest mean of a class."""
        return max(self.means.values())

    def work(self, cls: str, obj: str, known: float) -> float:
        """The sending time of a request, which may be told, else what is known of its object or class."""
        work = known or self.by_object.get(obj, self.means[cls])
        if known or obj in self.by_object:
            self._weigh(cls, work)
        return work

    def learn(self, cls: str, obj: str, alone: float, wait: float) -> None:
        """Learn from an answer: its size as seen, 0 if not; or by the shortest wait, which tells most."""
        self._seen = self._seen or alone > 0
        if self._seen and not alone:
            return  # 'unchanged' brings no bytes, so its wait tells of no size
        known = self.by_object.get(obj, math.inf)
        if alone and known == math.inf:
            self._weigh(cls, alone)
        self.by_object[obj] = max(alone, self._tick) if alone else min(wait, known)
        self.by_object.move_to_end(obj)
        if len(self.by_object) > self._kept:
            self.by_object.popitem(last=False)

    def _weigh(self, cls: str, work: float) -> None:
        """Learn the mean sending time of a class, at first by the few answers that there are.

        What takes longer than anyone waits counts as that long: any client may tell any size.
        """
        work = min(work, self._longest[cls])
        self._weighed[cls] = min(self._weighed[cls] + 1, 50.0)
        self.means[cls] += (work - self.means[cls]) / self._weighed[cls]
