"""Owns the operator interface of a router: admin API, maintenance orders, handover between two processes.

It never selects a server, and never waits for the request engine; once this process serves clients, it never
waits for another process either.
Entry points: `admin_api.AdminApi`, `maintenance_orders.MaintenanceOrders` and `handover.Handover` (actors).
"""
