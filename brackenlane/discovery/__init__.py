"""Where caches come from: every source of caches, one merge, one list.

It never picks a server for a request, and no answer of any source undoes an operator's drain. Entry points:
`Merge` (pure; the clock is handed in) and `Resolver` (the appliance's own, for SRV and address records).
"""
