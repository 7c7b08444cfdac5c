"""Calculations for fleet-wide budgets: dividing a budget by demand, and leases on the shares.

The functions have no side effects: they neither access a store nor enforce a budget. The router does not use
them yet. Entry points: `division.divide`, `leases.renew`, `leases.accept_grant`.
"""
