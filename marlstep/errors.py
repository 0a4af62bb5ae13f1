"""Base classes of the errors that this program raises itself."""

from __future__ import annotations


class MarlstepError(Exception):
    """Base of the program's own errors. Each subclass stands for a different reaction of the caller."""


class RemoteProtocolError(MarlstepError):
    """A peer violated its protocol: reject its message, or close its connection."""


class LocalProtocolError(MarlstepError):
    """This program misused a protocol or a buffer: a bug in this program, which no peer can cause."""
