"""Owns the decisions of a request: the server that gets it, the source of a fill, retries and rejections.

Never does input or output, reads a clock or sleeps: time and random seed are handed to it.
Entry point: `Router`, whose `handle` takes an event and returns actions (records: events, actions, settings).
"""

from brackenlane.routing.router import Router

__all__ = ["Router"]
