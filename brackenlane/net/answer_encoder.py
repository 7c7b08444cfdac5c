"""Encodes the core's answers as HTTP responses, using the current settings and limits."""

from __future__ import annotations

from brackenlane.core.engine import RequestEngine
from brackenlane.core.requests import Answer, Disposition
from brackenlane.net.front_context import FrontContext
from brackenlane.net.request_codec import EncodedResponse, encode_final_answer


class AnswerEncoder:
    """Encodes final answers of the core and rejections made by the front."""

    def __init__(self, core: RequestEngine, context: FrontContext) -> None:
        self._core = core
        self._context = context

    def encode_answer(self, answer: Answer) -> EncodedResponse:
        """Encode a final answer; the retry headers depend on the site's `max_hold_off` setting."""
        return encode_final_answer(answer, self._core.settings.max_hold_off)

    def encode_rejection(self, retry_after: float = 0.0) -> EncodedResponse:
        """Encode a rejection made by the front.

        retry_after: seconds before the client may retry; 0 for `Limits.retry_after`.
        """
        return self.encode_answer(
            Answer(Disposition.REJECTED, retry_after=retry_after or self._context.limits.retry_after)
        )
