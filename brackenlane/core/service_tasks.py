"""Service tasks: background work whose failures are logged and never end the program.

An exception that leaves a task of a trio nursery cancels all its other tasks. Work that depends on values of
other programs, such as the resolver or the store, therefore runs in these wrappers.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import TypeVarTuple

import trio

log = logging.getLogger(__name__)

FIRST_RESTART_DELAY = 0.1  # seconds; doubles with each failure in a row
MAX_RESTART_DELAY = 5.0  # seconds; a task that ran longer than this has not failed in a row

Arguments = TypeVarTuple("Arguments")


async def run_service(
    name: str, run: Callable[[*Arguments], Awaitable[None]], *arguments: *Arguments
) -> None:
    """Run a task until it returns; after an unexpected error, log it and start the task again.

    name: of the task in the log.
    """
    delay = FIRST_RESTART_DELAY
    while True:
        started_at = trio.current_time()
        try:
            await run(*arguments)
        except Exception:
            if trio.current_time() - started_at > MAX_RESTART_DELAY:
                delay = FIRST_RESTART_DELAY
            log.exception("%s failed, it starts again in %.1f s", name, delay)
        else:
            return
        await trio.sleep(delay)
        delay = min(2 * delay, MAX_RESTART_DELAY)


async def run_isolated(
    name: str, run: Callable[[*Arguments], Awaitable[None]], *arguments: *Arguments
) -> None:
    """Run a task once; an unexpected error is logged and ends this task only.

    name: of the task in the log.
    """
    try:
        await run(*arguments)
    except Exception:
        log.exception("%s failed", name)
