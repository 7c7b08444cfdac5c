"""What the cases share: routers as processes, stand-ins for caches and clients, a proxy and the record."""
