"""The doorman round the decisions of frostsail: real sockets in front, cache boxes behind."""
