"""The actor round the decision module: clock, timers, requests in hand, attempts, what was told, own copies.

It knows no wire and picks no server. Entry point: `core.RequestEngine`.
"""
