"""Reads and validates all configuration, and fills in its defaults.

An invalid configuration raises ConfigError; its message names the key.
"""

from marlstep.config.checking import check
from marlstep.config.loading import load
from marlstep.config.readers import ConfigError
from marlstep.config.reloading import describe_changes, merge_reloaded
from marlstep.config.schema import AdminConfig, Config, UwsgiConfig

__all__ = [
    "AdminConfig",
    "Config",
    "ConfigError",
    "UwsgiConfig",
    "check",
    "describe_changes",
    "load",
    "merge_reloaded",
]
