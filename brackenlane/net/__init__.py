"""The platform's front: clients on HTTP, cache boxes on lines, the change log on frames."""
