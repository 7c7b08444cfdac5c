"""Fault injection for one real process: wall clock steps, failing system calls and storage errors.

A library compiled from `tools/fault_shim.c` is preloaded into that process. A test or the soak test switches
faults on and off through a control file while the process runs. The machine's clock and other processes are
not affected. Entry point: `shim.FaultShim`.
"""
