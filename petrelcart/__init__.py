"""Overload control that lives inside each server of a fleet."""
