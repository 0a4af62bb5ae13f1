"""The former name of `marlstep.emulators`, kept for the command `python -m marlstep.standins`."""
