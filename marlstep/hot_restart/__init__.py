"""Two processes of one node while one version takes over from another. Loaded only where a socket is passed."""
