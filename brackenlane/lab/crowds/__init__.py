"""Crowds of misbehaving clients and caches against one real router whose memory is measured.

It makes no judgement about routing. Entry point: `crowd_run.run_crowd`;
command line: `python -m brackenlane.lab.crowds`.
"""
