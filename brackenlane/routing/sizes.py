"""Transfer times of answers of unknown size, learned per object, with a mean per class as a fallback.

Pure. A transfer time is in seconds, for one transfer alone on its link at the highest pace.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence

from brackenlane.routing.settings import RequestClass

PRIOR_ANSWERS = 4.0  # weight of the prior in a mean, in answers
MAX_MEAN_ANSWERS = 50.0  # maximum time constant of a moving mean, in answers
# Prior mean of a class as a share of its latency objective. Objects that have several parts are large.
PRIOR_SHARE = 0.25
PRIOR_SHARE_IN_PARTS = 0.8


class Sizes:
    """Transfer times that one router has learned; evicts the least recently answered objects."""

    def __init__(self, classes: Sequence[RequestClass], tick: float, max_entries: int) -> None:
        """tick: resolution of the clock in seconds; max_entries: maximum number of objects remembered."""
        self._tick = tick
        self._max_entries = max_entries
        # Transfer time in seconds by object, the same for all of its parts.
        self.by_object: OrderedDict[str, float] = OrderedDict()
        self.means = {cls.name: _prior_mean(cls) for cls in classes}  # seconds, by name of the class
        self._time_limits = {cls.name: cls.time_limit for cls in classes}
        # Number of answers in the mean of each class, including the prior.
        self._answer_counts = dict.fromkeys(self.means, PRIOR_ANSWERS)
        self._are_sizes_seen = False  # whether any answer has shown its size

    @property
    def largest_mean(self) -> float:
        """The largest mean of all classes, in seconds."""
        return max(self.means.values())

    def work(self, cls: str, obj: str, known: float) -> float:
        """Return the transfer time of a request in seconds.

        known: the transfer time if the request gives its size, else 0. In the latter case the learned time of
        the object is returned, or the mean of the class for an unknown object.
        """
        work = known or self.by_object.get(obj, self.means[cls])
        if known or obj in self.by_object:
            self._update_mean(cls, work)
        return work

    def learn(self, cls: str, obj: str, transfer_seconds: float, wait: float) -> None:
        """Learn the transfer time of an object from one answer.

        transfer_seconds: computed from the size of the answer, 0 if the size is unknown; wait: seconds that
        the attempt took. If no sizes are known, the shortest wait is used: it includes the least queueing.
        """
        self._are_sizes_seen = self._are_sizes_seen or transfer_seconds > 0
        if self._are_sizes_seen and not transfer_seconds:
            return  # a response without content, such as 304, does not show the size of the object
        known = self.by_object.get(obj, math.inf)
        if transfer_seconds and known == math.inf:
            self._update_mean(cls, transfer_seconds)
        self.by_object[obj] = max(transfer_seconds, self._tick) if transfer_seconds else min(wait, known)
        self.by_object.move_to_end(obj)
        if len(self.by_object) > self._max_entries:
            self.by_object.popitem(last=False)

    def _update_mean(self, cls: str, work: float) -> None:
        """Update the mean of a class; the first few answers have a larger weight.

        The work is capped at the time limit of the class, because a client may state any size.
        """
        work = min(work, self._time_limits[cls])
        self._answer_counts[cls] = min(self._answer_counts[cls] + 1, MAX_MEAN_ANSWERS)
        self.means[cls] += (work - self.means[cls]) / self._answer_counts[cls]


def _prior_mean(cls: RequestClass) -> float:
    return cls.latency_objective * (PRIOR_SHARE_IN_PARTS if cls.in_parts else PRIOR_SHARE)
