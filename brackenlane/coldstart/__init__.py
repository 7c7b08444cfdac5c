"""Owns the decisions of a starting router: when it contacts the shared store, what it reads, its phase.

Never opens a socket and never picks a server: pure functions of the time and random numbers handed in.
Entry points: `pacing.StorePacing`, `stream_position.is_log_continuous`, `phases.StartupPhases`.
"""
