"""The decisions of a request: which server is sent it, when it is retried, and when it is rejected.

Owns what one router learns of servers and objects. Never opens a connection, reads a clock, or draws a
random number without a seed. Entry point: `Router.handle(event, now)`, which returns the actions to perform.
"""

from brackenlane.routing.router import Router

__all__ = ["Router"]
