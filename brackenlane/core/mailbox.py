"""The mailbox of an actor; messages are processed one at a time, in the task that posts them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A queue whose messages are each processed to completion, without a task switch.

    A message posted while another is being processed is queued, so the receiver is never called recursively.
    """

    def __init__(self, receive: Callable[[T], None]) -> None:
        self._receive = receive
        self._queue: deque[T] = deque()
        self._is_processing = False

    def post(self, message: T) -> None:
        """Add a message, then process the queue unless a caller further up the stack is already doing so.

        Exceptions of the receiver propagate; messages queued after the failed one wait for the next `post`.
        """
        self._queue.append(message)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._queue:
                self._receive(self._queue.popleft())
        finally:
            self._is_processing = False
