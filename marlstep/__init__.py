"""The node: requests, attempts and outcomes on real sockets, decided by `marlstep.admission`."""
