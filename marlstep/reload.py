"""Configuration in force, and its reload: by SIGHUP from the files, or by documents that the cluster agreed on."""

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

    A new one that can't be read, or that breaks a rule, is rejected before anything is changed. One that passes is in
    force from then on, and `on_change` gives each part of the node its share. An error that `on_change` raises is not
    handled: the parts before it have the new configuration and the others the old one, until the next reload.
    """

    def __init__(
        self, config: Config, read_config: Callable[[], Config], on_change: Callable[[Config], None]
    ) -> None:
        """Call `on_change` with the configuration replaced, once the new one is in force."""
        self.config = config
        self.governed: DocumentOverrides | None = None  # documents in force, where the cluster agrees on any
        self._read_config = read_config
        self._on_change = on_change

    def handle_signal(self) -> None:
        """Reload at each SIGHUP from now on."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)

    def reload(self) -> None:
        """Read the configuration again. An error is logged with its key, and the old one stays in force."""
        try:
            self.apply_config(self._with_documents(self._read_config()))
        except ConfigError as error:
            _log_rejected(error)
            return
        log.info("configuration reloaded")

    def _with_documents(self, config: Config) -> Config:
        """Put the documents in force in the place of what files say."""
        if self.governed is None:
            return config
        for difference in self.governed.describe_differences(config):
            log.warning("%s", difference)
        return self.governed.apply_to(config)

    def apply_config(self, config: Config) -> None:
        """Put another configuration in force.

        Raises:
            ConfigError: it breaks a rule; the old one stays in force.
            TableFullError: a pool got more servers than its table holds beside those that still finish requests. The
                configuration is in force by then, but not at all parts of the node.
        """
        replaced = self.config
        self.config, restart_keys = merge_reloaded(replaced, config)
        for key in restart_keys:
            log.warning("configuration key needs a restart: key=%s", key)
        self._on_change(replaced)


def log_setting_changes(replaced: Config, config: Config) -> None:
    """Log each setting that differs, in a line of its own."""
    for line in describe_changes(replaced.settings, config.settings):
        log.info("settings changed: %s", line)


def _log_rejected(error: ConfigError) -> None:
    # Without a traceback: the message names the key, which is what the author of the file has to correct.
    log.error("configuration rejected, the running one stays in force: %s", error)
