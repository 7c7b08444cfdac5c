"""What the whole fleet may send somewhere, divided among its routers: shares by demand, grants that run out.

Pure decisions; nothing of it is in force yet. Entry points: `division.divide`, `grants.renew`, `grants.hold`.
"""
