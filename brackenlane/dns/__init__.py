"""The DNS front: routes clients of small sites by answering names under the operator's zone.

It owns its sockets and open queries; it never picks a server itself. Entry points: `server.Server` (sockets)
and `responder.Responder` (queries to responses); `names` reads a name under the zone.
"""
