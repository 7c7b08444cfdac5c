"""The router round the decisions of brackenlane.routing: real sockets in front, caches behind."""
