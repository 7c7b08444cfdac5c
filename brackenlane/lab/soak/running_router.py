"""A router process of the soak test, with its files, fault shim and change log endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import trio

from brackenlane.lab.faults.shim import FaultShim
from brackenlane.lab.soak.change_log import ChangeLogEndpoint
from brackenlane.lab.soak.record import ObservedRouter


@dataclass
class RunningRouter:
    """One router process with what belongs to it alone."""

    observed: ObservedRouter
    port: int
    folder: Path
    config: dict[str, Any]
    shim: FaultShim
    endpoint: ChangeLogEndpoint
    process: trio.Process

    def write_config(self) -> None:
        """Write the configuration file, which the router reads again at SIGHUP."""
        (self.folder / "config.json").write_bytes(orjson.dumps(self.config))
