"""The second front: DNS-based request routing for small sites."""
