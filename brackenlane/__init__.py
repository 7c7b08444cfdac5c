"""The doorman round the decisions of brackenlane.routing: real sockets in front, cache boxes behind."""
