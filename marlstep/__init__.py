"""Node that serves requests on real sockets; the controller in `marlstep.admission` makes its decisions."""
