"""Owns the sockets of a router: HTTP clients, line connections to caches, the change log's frames.

Never decides which cache serves a request, nor whether one is retried: `core` and `routing` do.
Entry points: `http_front.HttpFront`, `connection_pools.ConnectionPools`, `change_log.ChangeLogClient`.
"""
