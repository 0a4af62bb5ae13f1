"""Fronts: thin translations between a wire and the core."""
