"""The operators' address: status, figures, caches taken out by hand.

It owns the calls, the counts and what was ordered; it never picks a server and never waits for the core.
Entry points: `door.AdminApi` (actor), `maintenance.Maintenance` and `counts.RequestMetrics` (pure).
"""
