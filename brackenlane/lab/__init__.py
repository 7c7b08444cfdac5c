"""The project's own laboratory: stand-in caches and open-loop load, each in processes of their own.

It never runs beside a router in service and is imported by none of its parts. Entry points:
`python -m brackenlane.lab.cache_servers` and `python -m brackenlane.lab.load`.
"""
