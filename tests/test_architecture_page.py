"""Checks that every name quoted in docs/ARCHITECTURE.md exists.

These are modules, members, metrics, environment variables, paths and log lines. In backticks:
`package.module.Class.member` relative to brackenlane, `Limits.field`, `gw_metric`, `VARIABLE`,
`path/to/file`, or text of the source or the deploy files. In double quotes: a log line.
"""

from __future__ import annotations

import ast
import importlib
import inspect
import re
from functools import cache
from pathlib import Path
from types import ModuleType

import pytest

import brackenlane
from brackenlane.core.memory_budget import MemoryBudget
from brackenlane.core.metrics import Gauges, RequestMetrics, expose
from brackenlane.core.process_memory import MemoryMonitor
from brackenlane.limits import Limits
from brackenlane.net.change_log import ChangeLogCounters

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
LOG_METHODS = {"debug", "info", "warning", "error", "exception"}
DOTTED = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*")
METRIC = re.compile(r"gw_[a-z_]+")
VARIABLE = re.compile(r"[A-Z]{2,}(_[A-Z]+)*")
PLACEHOLDERS = re.compile(r" FILE| BOX|python -m brackenlane ")
REPOSITORY_PATH = re.compile(r"[\w.-]+(/[\w.-]*)+")


@cache
def source_literals() -> tuple[frozenset[str], frozenset[str]]:
    """Return all string literals outside the lab, and among them the texts of log calls and errors."""
    found: set[str] = set()
    messages: set[str] = set()
    for file in (ROOT / "brackenlane").rglob("*.py"):
        if "lab" in file.relative_to(ROOT).parts:
            continue
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
            if isinstance(node, ast.Call) and node.args and isinstance(node.args[0], ast.Constant):
                is_log = isinstance(node.func, ast.Attribute) and node.func.attr in LOG_METHODS
                if is_log or (isinstance(node.func, ast.Name) and node.func.id.endswith("Error")):
                    messages.add(str(node.args[0].value))
    return frozenset(found), frozenset(messages)


@cache
def operator_text() -> str:
    """Return the text that operators type or read: string literals, the deploy files and the Makefile."""
    files = [*sorted((ROOT / "deploy").glob("*.toml")), ROOT / "Makefile"]
    return "\n".join([*source_literals()[0], *(file.read_text() for file in files)])


# Fault counters that platform_router.build adds to the metrics.
OTHER_FAULT_COUNTERS = (
    "change_log_refused_servers",
    "clock_steps",
    "accept_shortages",
    "handover_write_failures",
    "handover_read_failures",
    "submit_record_rejections",
    "memory_releases",
    "memory_waits",
    "memory_rejections",
)


def has_member(owner: object, name: str) -> bool:
    """Return whether an object has a member, or its class sets an instance attribute of that name."""
    if hasattr(owner, name):
        return True
    return inspect.isclass(owner) and re.search(rf"\bself\.{name}\b", inspect.getsource(owner)) is not None


def is_dotted_name(text: str) -> bool:
    """Return whether a dotted name, relative to brackenlane or Limits, exists."""
    owner: object = Limits if text.startswith("Limits.") else brackenlane
    for name in text.removeprefix("Limits.").split("."):
        if isinstance(owner, ModuleType) and hasattr(owner, "__path__"):
            try:
                owner = importlib.import_module(f"{owner.__name__}.{name}")
            except ModuleNotFoundError:
                return False
        elif has_member(owner, name):
            owner = getattr(owner, name, None)
        else:
            return False
    return True


def exists(text: str) -> bool:
    """Return whether a quoted name exists; its form tells the kind of name."""
    if METRIC.fullmatch(text):
        faults = {**ChangeLogCounters().by_name(), **dict.fromkeys(OTHER_FAULT_COUNTERS, 0)}
        levels = MemoryMonitor(MemoryBudget(), 0, 0, 0).metrics()
        samples = expose(RequestMetrics(["any"]), Gauges(), faults, levels).decode()
        return re.search(rf"^{text}\b", samples, re.M) is not None
    if VARIABLE.fullmatch(text):
        return text in source_literals()[0]
    if DOTTED.fullmatch(text):
        return is_dotted_name(text) or text in source_literals()[0] or f"\n{text} = " in operator_text()
    if REPOSITORY_PATH.fullmatch(text) and not text.startswith("."):
        return (ROOT / text).exists()
    return all(part in operator_text() for part in PLACEHOLDERS.split(text))


def missing_names(page: str) -> list[str]:
    """Return the quoted names and log lines of a page that don't exist."""
    names = re.findall(r"`([^`\n]+)`", page)
    lines = re.findall(r'"([^"]+)"', re.sub(r"`[^`\n]+`|\s+", " ", page))
    unlogged = [line for line in lines if not any(line in message for message in source_literals()[1])]
    return [name for name in names if not exists(name)] + unlogged


def test_all_names_of_the_page_exist() -> None:
    page = PAGE.read_text()
    assert len(re.findall(r"`[^`\n]+`", page)) > 150
    assert missing_names(page) == []


WRONG = (
    "`net.board`, `net.http_front.Door`, `core.engine.RequestEngine.no_such`, "
    "`core.engine.RequestEngine._no_such`, "
    "`Limits.no_such`, `gw_no_such_metric`, `NO_SUCH_VARIABLE`, `docs/no_such.md`, `no such command`, "
    '"no such log line: %s"'
)


@pytest.mark.parametrize("wrong", WRONG.split(", "))
def test_a_wrong_name_is_found(wrong: str) -> None:
    assert missing_names(f"The entry point is {wrong}.") == [wrong.strip('`"')]
