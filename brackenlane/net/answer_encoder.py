"""Answers of the core as responses, by the settings and limits now in force."""

from __future__ import annotations

from brackenlane.core.engine import RequestEngine
from brackenlane.core.requests import Answer, Disposition
from brackenlane.net.front_context import FrontContext
from brackenlane.net.request_codec import EncodedResponse, encode_final_answer


class AnswerEncoder:
    """Encodes final answers and the front's own rejections."""

    def __init__(self, core: RequestEngine, context: FrontContext) -> None:
        self._core = core
        self._context = context

    def encode_answer(self, answer: Answer) -> EncodedResponse:
        """Encode a final answer as the clients of this site understand it."""
        return encode_final_answer(answer, self._core.settings.max_hold_off)

    def encode_rejection(self, hold_off: float = 0.0) -> EncodedResponse:
        """Encode a rejection by the front itself; hold_off: seconds to stay away, the usual ones if 0."""
        return self.encode_answer(
            Answer(Disposition.REJECTED, hold_off=hold_off or self._context.limits.retry_after)
        )
