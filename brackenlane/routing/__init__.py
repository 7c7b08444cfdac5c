"""Decisions of a router in front of caches of large objects behind thin links."""

from brackenlane.routing.router import Router

__all__ = ["Router"]
