"""Cache discovery: definitions from several sources, their merge into one list, DNS look-ups, the snapshot.

This package does not choose the cache for a request. No answer from a source overrides an operator's drain.
Entry points: `registry.Registry` (publishes the list), `merge.MembershipMerge` (pure) and
`dns_source.DnsSource` (actor).
"""
