"""What the routers of one appliance share, in Redis."""
