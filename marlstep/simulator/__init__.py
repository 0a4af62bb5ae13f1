"""The admission controller behind the simulator's wire protocol, on standard input and output."""
