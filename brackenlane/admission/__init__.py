"""Admission control: which requests are queued, served or rejected while this process is short of CPU.

It owns the queue of requests that were read and not yet served; it never picks a server and never ends a
request that the core has accepted. Entry point: `controller.AdmissionQueue` (pure; the clock is handed in).
"""
