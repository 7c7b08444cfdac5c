"""What the router says of itself: so far the rate at which its log may grow.

It never decides anything, and costs no request its time. Entry point: `throttle.Throttle`.
"""
