"""Decisions of a router that starts: when it contacts the shared store, what it reads, and its phase.

This package opens no sockets and selects no servers. The time and random numbers are passed in, so that
results are reproducible.
Entry points: `pacing.StorePacing`, `stream_position.is_log_continuous`, `phases.StartupPhases`.
"""
