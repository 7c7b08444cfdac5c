"""Computes the share of each class's requests that each cache should serve, by linear programming.

The shares are only a plan: this package does not route requests and does not apply what it computes. Entry
points: `solve.solve`, and `verify.verify`, which checks a plan independently.
"""
