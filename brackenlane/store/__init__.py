"""Owns what the routers of one site share in Redis: cache list, operator orders, purges, idempotency claims.

Never holds up a request for the store except for a claim, and never picks a server.
Entry point: `shared_store.SharedStore`.
"""
