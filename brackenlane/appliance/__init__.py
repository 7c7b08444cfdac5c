"""The router as an appliance for a small site: DNS and HTTP fronts, set up by an operator's file.

Assembles the components of the other packages. Its only logic of its own is which data a starting router uses
before the shared store has answered. Entry points: `config.load` and `program.serve`.
"""
