"""Test and measurement tools: simulations, models, stand-in caches and load generators.

They never run next to a router in production, and no other package imports them. Stand-in caches and the load
generator run as separate processes: `python -m brackenlane.lab.cache_servers` and
`python -m brackenlane.lab.load`.
"""
