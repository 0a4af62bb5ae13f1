"""The base of all errors that this program raises on purpose."""

from __future__ import annotations


class MarlstepError(Exception):
    """Base of the program's own errors; subclasses are told apart by what a caller can do about them."""


class RemoteProtocolError(MarlstepError):
    """A peer sent what its protocol does not allow: reject what it sent, or end its connection."""


class LocalProtocolError(MarlstepError):
    """This program misused a protocol or its buffers: a defect here, which no peer can cause."""
