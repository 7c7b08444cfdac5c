"""The operator's file as typed records with bounds: all that is wrong with it is told at once.

It reads, and changes nothing; what a running router uses is replaced whole or not at all. Entry point:
`read_appliance`.
"""
