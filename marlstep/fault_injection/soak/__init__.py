"""A soak of one node: upgrades, drains, kills and signals under load, checked against the rules on sockets.

`script` draws what happens, `platform` runs the node's processes and the emulators around them, `clients` sends
requests, `history` records them, `checks` judges the records, and `run` plays one seed.
"""
