"""The platform's front: clients on HTTP, caches on lines, the change log on frames."""
