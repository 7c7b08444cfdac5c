"""Authoritative DNS server for the operator's zone, which routes the clients of small sites.

It owns its sockets and open queries; the request engine chooses the caches. Entry points: `tcp_server`
and `udp_front` (sockets), `responder.Responder` (queries to responses); `names` parses names under the zone.
"""
