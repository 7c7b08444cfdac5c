"""The project's own laboratory: stand-in boxes and open-loop load, each in processes of their own.

It never runs beside a doorman in service and is imported by none of its parts. Entry points:
`python -m brackenlane.lab.cache_servers` and `python -m brackenlane.lab.load`.
"""
