"""The actor around the `Router`: it owns pending requests, their attempts, timers and cached responses.

It never picks a server and knows no wire protocol; fronts hand requests in, connection pools report attempts.
Entry point: `engine.RequestEngine`.
"""
