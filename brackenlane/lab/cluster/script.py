"""The script of a scenario, i.e. its size and timed steps: a TOML file as validated models."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from brackenlane.config import ConfigError

Seconds = Annotated[float, Field(ge=0, le=3600)]
Action = Literal[
    "start",
    "kill",
    "term",
    "stop",
    "cont",
    "list",
    "link",
    "heal",
    "reset",
    "store_down",
    "store_up",
    "lose",
    "late",
    "refuse_share",
    "drain",
    "restore",
    "purge",
    "box_restart",
    "box_mute",
    "box_speak",
    "write_order",
]


class StrictModel(BaseModel):
    """Base of the models: unknown keys and numbers given as text are errors."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Store(StrictModel):
    """Capacity of the stand-in store: rates per second, and `patience`, its longest queueing delay."""

    commands: Annotated[float, Field(gt=0)] = 2000.0
    connections: Annotated[float, Field(gt=0)] = 500.0
    bytes: Annotated[float, Field(gt=0)] = 2e6
    patience: Seconds = 0.5


class Step(StrictModel):
    """One action and the time at which it is done."""

    second: Seconds
    do: Action
    # Routers that the action affects.
    who: Literal["all", "odd", "even"] | list[Annotated[int, Field(ge=0)]] = "all"
    # The server at the other end of a link: "store" or a cache.
    way: Annotated[str, Field(max_length=63)] = "store"
    box: Annotated[str, Field(max_length=63)] = ""
    object: Annotated[str, Field(max_length=63)] = ""
    # What the action `list` does to the routers' snapshots.
    state: Literal["stale", "torn", "missing", "foreign"] = "missing"
    seconds: Seconds = 0.0
    share: Annotated[float, Field(ge=0, le=1)] = 0.0
    fault: dict[Literal["refuse", "up", "down", "delay", "rate", "drop_after"], bool | float | int] = {}


class Script(StrictModel):
    """A whole scenario."""

    name: Annotated[str, Field(pattern=r"^[0-9a-z-]{1,40}$")]
    seconds: Annotated[float, Field(gt=0, le=3600)]
    doormans: Annotated[int, Field(ge=1, le=1000)] = 8
    boxes: Annotated[int, Field(ge=1, le=500)] = 4
    parents: Annotated[int, Field(ge=0, le=50)] = 1
    rate: Annotated[float, Field(ge=0, le=10_000)] = 40.0  # requests a second, at all routers together
    objects: Annotated[int, Field(ge=1, le=100_000)] = 200
    pairs: bool = True  # whether routers reach caches through links; if false, only the store
    started: bool = True  # whether all routers start before the first step; if false, steps start them
    link: Annotated[float, Field(gt=0, le=1000)] = 8.0  # concurrent transfers of a warm edge cache
    wider: Annotated[float, Field(ge=1, le=100)] = 5.0  # factor on `link` for parent caches and the origin
    work: Annotated[float, Field(gt=0, le=10)] = 0.04  # seconds that one transfer takes on an idle cache
    purge_propagation_time: Seconds = 6.0
    # Rates a second of small requests to the store and of full loads, as written to the routers' files.
    asks: Annotated[float, Field(gt=0)] = 500.0
    loads: Annotated[float, Field(gt=0)] = 20.0
    # By router number: [offset in seconds, rate].
    clocks: dict[Annotated[str, Field(pattern=r"^\d+$")], list[float]] = {}
    store: Store = Store()
    steps: Annotated[list[Step], Field(alias="at", max_length=1000)] = []

    @model_validator(mode="after")
    def _check_references(self) -> Script:
        parties = {
            "store",
            "origin",
            *(f"box-{n}" for n in range(self.boxes)),
            *(f"parent-{n}" for n in range(self.parents)),
        }
        for n, step in enumerate(self.steps):
            if step.way not in parties or (step.box and step.box not in parties - {"store"}):
                raise ValueError(f"at[{n}]: {step.way!r} or {step.box!r} is no other party of this play")
            if isinstance(step.who, list) and any(who >= self.doormans for who in step.who):
                raise ValueError(f"at[{n}].who: there are {self.doormans} routers")
            if step.do == "link" and step.way != "store" and not self.pairs:
                raise ValueError(f"at[{n}]: without `pairs` boxes have no links of their own")
        return self


def read(text: str, file: str) -> Script:
    """Return the script in a text; raises ConfigError with one line for each fault."""
    try:
        return Script.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{file}: not TOML: {error}") from None
    except ValidationError as faults:
        lines = []
        for fault in faults.errors(include_url=False):
            path = ".".join(map(str, fault["loc"])) or "script"
            lines.append(f"{file}: {path}: {fault['msg'].removeprefix('Value error, ')}")
        raise ConfigError("\n".join(lines)) from None


def load(path: Path) -> Script:
    """Return the script in a file; raises ConfigError if it can't be read."""
    try:
        return read(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigError(f"{path}: {getattr(fault, 'strerror', None) or fault}") from None
