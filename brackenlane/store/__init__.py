"""What the doormans of one appliance share, in Redis."""
