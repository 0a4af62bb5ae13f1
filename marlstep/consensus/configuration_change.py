"""Rules for changing the group's configuration by one voter at a time (section 4.1 of Ongaro's dissertation)."""

from __future__ import annotations

import enum

from marlstep.consensus.log import Configuration
from marlstep.errors import MarlstepError


class ConfigurationChangeRejection(enum.Enum):
    """Why a configuration change cannot be proposed."""

    NOT_ESTABLISHED_LEADER = "this member does not lead, or has not yet committed an entry of its term"
    CHANGE_PENDING = "the previous change is not committed yet"
    SEVERAL_VOTERS = "only one voter may be added or removed at a time"
    NO_VOTERS = "a configuration needs a voter"


class ConfigurationChangeRejectedError(MarlstepError):
    """A configuration change was rejected before it was proposed; `rejection` is the reason."""

    def __init__(self, rejection: ConfigurationChangeRejection) -> None:
        """Initialize the error with the rejection, whose value is the message."""
        super().__init__(rejection.value)
        self.rejection = rejection


def check_configuration_change(
    current: Configuration, proposed: Configuration, *, change_pending: bool
) -> None:
    """Check that the proposed configuration may follow the current one.

    `change_pending` states that the entry of the current configuration is not committed yet.

    Raises:
        ConfigurationChangeRejectedError: A change is pending, several voters change, or no voter remains.
    """
    if change_pending:
        raise ConfigurationChangeRejectedError(ConfigurationChangeRejection.CHANGE_PENDING)
    if len(set(proposed.voters) ^ set(current.voters)) > 1:
        raise ConfigurationChangeRejectedError(ConfigurationChangeRejection.SEVERAL_VOTERS)
    if not proposed.voters:
        raise ConfigurationChangeRejectedError(ConfigurationChangeRejection.NO_VOTERS)
