"""Configuration in force, and its reload: from the files at SIGHUP, or from documents that the cluster agreed on."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from marlstep.config import Config, ConfigError, describe_changes, merge_reloaded

if TYPE_CHECKING:
    from marlstep.config.document_overrides import DocumentOverrides

log = logging.getLogger("marlstep")


class ConfigReloader:
    """Owner of the configuration in force.

    A new configuration that can't be read, breaks a rule, or can't be applied now, is rejected before anything is
    changed. A valid one comes into force, and `on_change` applies it to each part of the node.

    Attributes:
        config: the configuration in force.
        governed: documents in force, which override the files; None if the cluster agrees on no documents.
    """

    def __init__(
        self,
        config: Config,
        read_config: Callable[[], Config],
        check_config: Callable[[Config], None],
        on_change: Callable[[Config], None],
    ) -> None:
        """Initialize with the configuration to start with.

        Args:
            config: the configuration in force until the first reload.
            read_config: reads the configuration for a reload; raises ConfigError for an invalid one.
            check_config: raises ConfigError if a valid configuration can't be applied now.
            on_change: called with the replaced configuration once the new one is in force.
        """
        self.config = config
        self.governed: DocumentOverrides | None = None
        self._read_config, self._check_config = read_config, check_config
        self._on_change = on_change

    def handle_signal(self) -> None:
        """Install a handler that reloads the configuration at each SIGHUP."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)

    def reload(self) -> None:
        """Read and apply the configuration. An invalid one is logged with its key, and the old one stays in force."""
        try:
            self.apply_config(self._with_documents(self._read_config()))
        except ConfigError as error:
            _log_rejected(error)
            return
        log.info("configuration reloaded")

    def _with_documents(self, config: Config) -> Config:
        """Override the settings of the files with the documents in force."""
        if self.governed is None:
            return config
        for difference in self.governed.describe_differences(config):
            log.warning("%s", difference)
        return self.governed.apply_to(config)

    def apply_config(self, config: Config) -> None:
        """Put another configuration in force.

        Raises:
            ConfigError: the configuration breaks a rule or can't be applied now; the old one stays in force.
        """
        replaced = self.config
        merged, restart_keys = merge_reloaded(replaced, config)
        self._check_config(merged)
        self.config = merged
        for key in restart_keys:
            log.warning("configuration key needs a restart: key=%s", key)
        self._on_change(replaced)


def log_setting_changes(replaced: Config, config: Config) -> None:
    """Log one line for each setting that differs."""
    for line in describe_changes(replaced.settings, config.settings):
        log.info("settings changed: %s", line)


def _log_rejected(error: ConfigError) -> None:
    # Logged without a traceback: the message names the key that the author of the file has to correct.
    log.error("configuration rejected, the running one stays in force: %s", error)
