"""Owns what the routers of a site share in Redis: cache list, operator orders, purges, idempotency claims.

A request waits for the store only while a submit is claimed, and nothing here selects a server.
Entry point: `shared_store.SharedStore`.
"""
