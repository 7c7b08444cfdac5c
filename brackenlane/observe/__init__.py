"""Logging of the router: line format and rate limit.

It makes no decisions and adds no latency to requests. Entry point: `log_rate_limiter.LogRateLimiter`.
"""
