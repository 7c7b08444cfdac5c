"""Admission control: which requests are queued, served or rejected while this process is short of CPU.

This package owns the queue of requests that were read but not yet served. It never picks a server and never
finishes a request that the core has accepted. Entry point: `controller.AdmissionQueue`, which performs no
I/O and is passed the current time.
"""
