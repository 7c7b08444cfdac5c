"""Transfer times of answers whose sizes are not given: by object, and means by class, learned from answers.

Pure. Times are in seconds of one transfer alone at the highest pace.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence

from brackenlane.routing.settings import RequestClass

PRIOR_ANSWERS = 4.0  # that the prior of a mean counts as
MEMORY = 50.0  # answers over which a mean is averaged, at most
# Priors of a mean, as shares of the class's latency objective: objects that have several parts are large.
PRIOR_SHARE = 0.25
PRIOR_SHARE_IN_PARTS = 0.8


class Sizes:
    """Transfer times that one router has learned; objects that were seen longest ago are forgotten first."""

    def __init__(self, classes: Sequence[RequestClass], tick: float, retained: int) -> None:
        """tick: of the clock, seconds; retained: objects remembered, at most."""
        self._tick = tick
        self._retained = retained
        self.by_object: OrderedDict[str, float] = OrderedDict()  # all parts of an object are of one size
        self.means = {cls.name: _prior_mean(cls) for cls in classes}  # by class
        self._longest = {cls.name: cls.time_limit for cls in classes}
        self._answer_counts = dict.fromkeys(self.means, PRIOR_ANSWERS)  # in each mean, with its prior
        self._are_sizes_seen = False  # in answers

    @property
    def largest(self) -> float:
        """The largest mean of a class."""
        return max(self.means.values())

    def work(self, cls: str, obj: str, known: float) -> float:
        """Return the transfer time of a request; known: as given, 0 if not.

        Else it is that of its object, or the mean of its class.
        """
        work = known or self.by_object.get(obj, self.means[cls])
        if known or obj in self.by_object:
            self._update_mean(cls, work)
        return work

    def learn(self, cls: str, obj: str, alone: float, wait: float) -> None:
        """Learn from an answer of an object.

        alone: its transfer time by the size that was seen, 0 where none was; wait: seconds that it took.
        Without sizes the shortest wait counts, which holds the least of anything else.
        """
        self._are_sizes_seen = self._are_sizes_seen or alone > 0
        if self._are_sizes_seen and not alone:
            return  # a response without content (304) says nothing of a size
        known = self.by_object.get(obj, math.inf)
        if alone and known == math.inf:
            self._update_mean(cls, alone)
        self.by_object[obj] = max(alone, self._tick) if alone else min(wait, known)
        self.by_object.move_to_end(obj)
        if len(self.by_object) > self._retained:
            self.by_object.popitem(last=False)

    def _update_mean(self, cls: str, work: float) -> None:
        """Update the mean of a class, at first mostly by the few answers that there are.

        What takes longer than anyone waits counts as that long, since a client may state any size.
        """
        work = min(work, self._longest[cls])
        self._answer_counts[cls] = min(self._answer_counts[cls] + 1, MEMORY)
        self.means[cls] += (work - self.means[cls]) / self._answer_counts[cls]


def _prior_mean(cls: RequestClass) -> float:
    return cls.latency_objective * (PRIOR_SHARE_IN_PARTS if cls.in_parts else PRIOR_SHARE)
