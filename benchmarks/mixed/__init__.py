"""Two versions of the program run together: real processes on loopback, and checks of what they did."""
