"""The actor that runs the `Router`: it owns pending requests, their attempts, timers and cached responses.

It never picks a server and implements no wire protocol: fronts submit requests, and connection pools report
the results of attempts. Entry point: `engine.RequestEngine`.
"""
