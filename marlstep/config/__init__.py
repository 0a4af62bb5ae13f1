"""The one place where configuration is read, checked and given its defaults.

What is wrong raises ConfigError with a message that names the key.
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
