"""A request router for caches: the network program around the decisions of `brackenlane.routing`."""
