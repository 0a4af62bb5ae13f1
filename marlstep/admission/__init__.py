"""Admission control: decides which requests run, wait, are preempted or rejected; no clock and no I/O."""
