"""Admission control: which request runs, waits, is preempted or is rejected; no clock and no I/O."""
