"""Reads the configuration again on SIGHUP, and puts it in force as a whole or not at all."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from loguru import logger

from capershelf import config as configuration
from capershelf.config import Config
from capershelf.node import Node

if TYPE_CHECKING:
    from capershelf.stream.stream import Stream


class Reloader:
    """The files of a running proxy.

    config: as the files were read at the start, without a streamed version on top.
    """

    def __init__(
        self, config: Config, environ: Mapping[str, str], path: str | None, node: Node, stream: Stream | None
    ) -> None:
        self._config, self._environ, self._path = config, environ, path
        self._node, self._stream = node, stream

    def reload(self) -> None:
        """Apply the files as they are now; whatever is wrong with them, what was in force stays so."""
        try:
            config = configuration.load(self._environ, self._path)
            configuration.check_replacement(self._config.table, config.table)
            if self._stream is None:
                self._node.reload(config)
            else:
                self._stream.rebase(config)
        except Exception as problem:
            logger.error(
                "the new configuration is rejected, the old one stays in force: {problem}",
                event="reload-refused",
                problem=problem,
            )
        else:
            self._config = config
            logger.info("the configuration has been read again", event="reloaded")
