"""Where caches come from: owns the definitions of all sources, their merged list, resolver and snapshot.

It never picks a server for a request, and no answer of any source undoes an operator's drain. Entry points:
`registry.Registry` (publishes the list), `merge.MembershipMerge` (pure) and `dns_source.DnsSource` (actor).
"""
