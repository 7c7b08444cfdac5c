"""Reads and validates an operator's file. All of its faults are reported at once, one line each."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

from pydantic import ValidationError

from brackenlane.config import ConfigError
from brackenlane.settings.appliance import ApplianceFile
from brackenlane.settings.consistency import find_faults

if TYPE_CHECKING:
    from pydantic_core import ErrorDetails

MAX_SHOWN_VALUE = 60  # characters; a longer value is truncated
TRUNCATION_MARK = "..."

# Names of the tables in fault lines, by class. Operators' scripts may match them, so they must not change.
FAULT_LINE_TABLE_NAMES = {
    "SlowStartTable": "Cold",
    "SettingsTable": "Module",
    "ClassTable": "Class",
    "CacheTable": "BoxRecord",
    "SrvTable": "Discover",
    "DiscoveryTable": "Discovery",
    "ColdStartTable": "ColdStarts",
}


def load_appliance(path: str) -> ApplianceFile:
    """Return the validated operator's file at a path. Raises ConfigError."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or error
        raise ConfigError(f"{path}: {reason}") from error
    return read_appliance(text, path)


def read_appliance(text: str, path: str) -> ApplianceFile:
    """Return the validated operator's file with this TOML text.

    Raises ConfigError with a line for each fault: file, path of the key, value, and what is allowed.
    """
    try:
        file = ApplianceFile.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: not TOML: {error}") from error
    except ValidationError as error:
        raise _config_error(path, _describe(error)) from error
    faults = list(find_faults(file))
    if faults:
        raise _config_error(path, faults)
    return file


def _config_error(path: str, lines: list[str]) -> ConfigError:
    return ConfigError("\n".join(f"{path}: {line}" for line in lines))


def _describe(error: ValidationError) -> list[str]:
    """Return a line for each invalid value. Of several faults of one value, only the first is reported."""
    lines: dict[str, str] = {}
    for fault in error.errors(include_url=False):
        key_path = _key_path(fault["loc"])
        if key_path not in lines:
            lines[key_path] = _describe_fault(key_path, fault)
    return list(lines.values())


def _key_path(location: tuple[int | str, ...]) -> str:
    """Return a path such as `box[2].port`.

    For a value of a union type, pydantic adds the type that it tried to the location; that part is dropped.
    """
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
        elif part != "str" and "[" not in part:
            path += f".{part}"
    return path.lstrip(".")


def _describe_fault(key_path: str, fault: ErrorDetails) -> str:
    if fault["type"] == "missing":
        return f"{key_path}: missing"
    if fault["type"] == "extra_forbidden":
        return f"{key_path}: not known"
    shown = repr(fault["input"])
    if len(shown) > MAX_SHOWN_VALUE:
        shown = shown[: MAX_SHOWN_VALUE - len(TRUNCATION_MARK)] + TRUNCATION_MARK
    reason = fault["msg"].removeprefix("Value error, ")
    if fault["type"] == "model_type":
        class_name = fault["ctx"]["class_name"]
        reason = reason.replace(class_name, FAULT_LINE_TABLE_NAMES[class_name])
    return f"{key_path}: {shown}: {reason}"
