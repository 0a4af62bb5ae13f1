"""The base of all errors that this program raises on purpose."""

from __future__ import annotations


class MarlstepError(Exception):
    """Base of the program's own errors; subclasses are told apart by what a caller can do about them."""
