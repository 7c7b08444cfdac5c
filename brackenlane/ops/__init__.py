"""The operators' side of a router: its admin API, maintenance orders, and the handover between two processes.

It never picks a server and never waits for the request engine, nor for another process once this one serves.
Entry points: `admin_api.AdminApi`, `maintenance_orders.MaintenanceOrders` and `handover.Handover` (actors).
"""
