"""How much of what only the origin has may be asked for: less as it answers late, more as time passes.

Pure. Times are in seconds, Unix time where they are handed in.

An origin that falls behind serves a queue, oldest first. Once that queue is longer than a fill may wait, all
that it still works off was given up before: it works, and nobody is served (docs/design/fleet.md, "The origin
falls behind"). One router of hundreds sees it answer a second or two, so it can't learn by counts: the part
that it lets through is halved by a late or failed answer, once for each crowd, grows with each one in time,
and by itself with time (additive increase, multiplicative decrease; Chiu and Jain 1989).
"""

from __future__ import annotations

from brackenlane.routing.events import AttemptResult, CacheStatus, Outcome

MENDS = 8.0  # seconds in which the part grows back to the whole; a source that is out is tried as often
MENDED = 1 / 4  # of what is held back, let go by an answer in time: one late now and then costs nothing
LEAST = 0.05  # let through however late it answers: by these it is seen to have mended


class OriginThrottle:
    """One gateway's part of what may go to the origin."""

    __slots__ = ("_part", "_stamp", "_cut")

    def __init__(self) -> None:
        """All of it."""
        self._part, self._stamp, self._cut = 1.0, 0.0, 0.0

    def part(self, now: float) -> float:
        """The part of requests that only the origin can serve which may be sent on now."""
        self._part = min(1.0, self._part + max(0.0, now - self._stamp) / MENDS)
        self._stamp = now
        return self._part

    def learn(self, event: Outcome, now: float, bar: float, sure: float, pause: float, least: float) -> None:
        """A fill that the origin may have taken part in has ended.

        bar: seconds from which an answer is late; least: until which a refusal is the cache's own; sure: how
        surely an error is the origin's where it does not show; pause: see `late`.
        """
        far = event.cache_status is CacheStatus.FILLED_BY_ORIGIN
        full = event.result is AttemptResult.FULL and event.wait > least
        slow = (event.first_byte or event.wait) >= bar
        # A quick error is no sign of a queue: what waits in one fails once its fill is given up.
        if full or (slow and (far or event.result is AttemptResult.ERROR)):
            self.late(now, 1.0 if far else sure, pause)
        elif far:
            self._part += (1 - self.part(now)) * MENDED

    def late(self, now: float, sure: float, pause: float) -> None:
        """An answer came late or not at all.

        sure: 0 to 1, how surely for the origin's sake; pause: in so many seconds all counts as one crowd.
        """
        if now > self._cut + pause and sure > 0:
            self._part, self._cut = max(LEAST, self.part(now) * (1 - sure / 2)), now
