"""What the router reports about itself: so far the limit on the rate of its log.

It never decides anything, and adds nothing to the time of a request. Entry point: `throttle.Throttle`.
"""
