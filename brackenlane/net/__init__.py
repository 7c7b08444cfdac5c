"""Sockets of a router: HTTP connections of clients, line protocol to caches, framed stream of the change log.

This package does not decide which cache serves a request or whether a request is retried: `core` and
`routing` do.

Entry points: `http_front.HttpFront`, `connection_pools.ConnectionPools`, `change_log.ChangeLogClient`.
"""
