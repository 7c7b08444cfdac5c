"""Owns the decisions of fleet-wide budgets: shares by demand, and leases on them that expire.

Never talks to a store and never enforces anything: pure functions, not used by the running program yet.
Entry points: `division.divide`, `leases.renew`, `leases.accept_grant`.
"""
