"""Routing decisions: which server gets a request, when it is retried, and when it is rejected.

Holds the state that one router has learned about servers and objects. Performs no I/O, reads no clock, and
draws random numbers only from a seeded generator. Entry point: `Router.handle(event, now)`, which returns
the actions to perform.
"""

from brackenlane.routing.router import Router

__all__ = ["Router"]
