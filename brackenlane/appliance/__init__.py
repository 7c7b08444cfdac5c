"""The router as an appliance for a small site: DNS and HTTP fronts, set up by an operator's file.

It puts the parts of the other packages together, and decides only what a starting router serves from. Entry
points: `config.load` and `program.serve`.
"""
