"""The mailbox of an actor whose messages are processed by whoever posts them, one at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A queue of messages that runs each to completion, without a task switch.

    A message posted while another is processed waits for its turn, so the receiver is never entered twice.
    """

    def __init__(self, receive: Callable[[T], None]) -> None:
        self._receive = receive
        self._queue: deque[T] = deque()
        self._is_processing = False

    def post(self, message: T) -> None:
        """Add a message, then process the queue unless a caller further up the stack does so already.

        Raises what the receiver raises; messages behind the failed one wait for the next `post`.
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
