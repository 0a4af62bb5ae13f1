"""The rig: real processes or a virtual network, faults by a seeded plan, witnesses, and checkers of their record."""
