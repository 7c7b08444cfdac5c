"""Shares of each cache for each class, computed ahead by a solver; the router goes on deciding each request.

It never picks a server and puts nothing in force. Entry points: `solve` and, independent of it, `verify`.
"""
