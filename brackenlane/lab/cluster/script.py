"""What a play does and when: a TOML file as typed, bounded records."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from brackenlane.config import ConfigError

Seconds = Annotated[float, Field(ge=0, le=3600)]
Do = Literal[
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


class Record(BaseModel):
    """No unknown keys, no numbers as text."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Store(Record):
    """What the stand-in store bears a second."""

    commands: Annotated[float, Field(gt=0)] = 2000.0
    connections: Annotated[float, Field(gt=0)] = 500.0
    bytes: Annotated[float, Field(gt=0)] = 2e6
    patience: Seconds = 0.5


class Step(Record):
    """One thing that is done at a time."""

    second: Seconds
    do: Do
    who: Literal["all", "odd", "even"] | list[Annotated[int, Field(ge=0)]] = "all"  # routers
    way: Annotated[str, Field(max_length=63)] = "store"  # the other end of a link: "store" or a cache
    box: Annotated[str, Field(max_length=63)] = ""
    object: Annotated[str, Field(max_length=63)] = ""
    state: Literal["stale", "torn", "missing", "foreign"] = "missing"  # of a last list
    seconds: Seconds = 0.0
    share: Annotated[float, Field(ge=0, le=1)] = 0.0
    fault: dict[Literal["refuse", "up", "down", "delay", "rate", "drop_after"], bool | float | int] = {}


class Script(Record):
    """The whole play."""

    name: Annotated[str, Field(pattern=r"^[0-9a-z-]{1,40}$")]
    seconds: Annotated[float, Field(gt=0, le=3600)]
    doormans: Annotated[int, Field(ge=1, le=1000)] = 8
    boxes: Annotated[int, Field(ge=1, le=500)] = 4
    parents: Annotated[int, Field(ge=0, le=50)] = 1
    rate: Annotated[float, Field(ge=0, le=10_000)] = 40.0  # requests a second at all routers together
    objects: Annotated[int, Field(ge=1, le=100_000)] = 200
    pairs: bool = True  # a link of its own from each router to each cache; else to the store alone
    started: bool = True  # all routers are started first, and the clients once all follow the store
    link: Annotated[float, Field(gt=0, le=1000)] = 8.0  # transfers at a time that a warm cache does
    wider: Annotated[float, Field(ge=1, le=100)] = 5.0  # times as many that a parent and the origin do
    work: Annotated[float, Field(gt=0, le=10)] = 0.04  # seconds of one transfer alone
    purge_propagation_time: Seconds = 6.0
    asks: Annotated[float, Field(gt=0)] = 500.0  # told to the routers of the store
    loads: Annotated[float, Field(gt=0)] = 20.0
    clocks: dict[Annotated[str, Field(pattern=r"^\d+$")], list[float]] = {}  # router: seconds off, rate
    store: Store = Store()
    steps: Annotated[list[Step], Field(alias="at", max_length=1000)] = []

    @model_validator(mode="after")
    def _fits(self) -> Script:
        ways = {
            "store",
            "origin",
            *(f"box-{n}" for n in range(self.boxes)),
            *(f"parent-{n}" for n in range(self.parents)),
        }
        for n, step in enumerate(self.steps):
            if step.way not in ways or (step.box and step.box not in ways - {"store"}):
                raise ValueError(f"at[{n}]: {step.way!r} or {step.box!r} is no other party of this play")
            if isinstance(step.who, list) and any(who >= self.doormans for who in step.who):
                raise ValueError(f"at[{n}].who: there are {self.doormans} routers")
            if step.do == "link" and step.way != "store" and not self.pairs:
                raise ValueError(f"at[{n}]: without `pairs` boxes have no links of their own")
        return self


def read(text: str, file: str) -> Script:
    """A script; ConfigError with a line for each fault."""
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
    """A script from its file."""
    try:
        return read(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigError(f"{path}: {getattr(fault, 'strerror', None) or fault}") from None
