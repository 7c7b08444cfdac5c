"""Decisions of a gateway in front of caches of large objects behind thin links."""

from frostsail.brain import Router

__all__ = ["Router"]
