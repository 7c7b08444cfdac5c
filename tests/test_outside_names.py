"""Guards the external interface: names that operators and the platform use survive renaming in the code."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import click
import pytest
from pydantic import BaseModel

from brackenlane.cli.main import cli
from brackenlane.config import ConfigError
from brackenlane.console.admin_console import HELP
from brackenlane.core.metrics import Gauges, RequestMetrics, expose
from brackenlane.settings import appliance
from brackenlane.settings.loader import read_appliance

ROOT = Path(__file__).parent.parent
EXIT_TIMEOUT = 30.0  # seconds; long enough for a busy machine


def test_metric_names() -> None:
    """Operators' dashboards use the metric names."""
    counts = RequestMetrics(["pages"])
    counts.count_answer("pages", 200)
    assert expose(counts, Gauges(14, 9, 1)).decode().splitlines() == [
        "# TYPE gw_ok counter",
        'gw_ok{kind="pages"} 1',
        "# TYPE gw_shed counter",
        'gw_shed{kind="pages"} 0',
        "# TYPE gw_errors counter",
        'gw_errors{kind="pages"} 0',
        "# TYPE gw_tries counter",
        'gw_tries{kind="pages"} 0',
        "# TYPE gw_active gauge",
        "gw_active 14",
        "# TYPE gw_pool_size gauge",
        "gw_pool_size 9",
        "# TYPE gw_pool_ejected gauge",
        "gw_pool_ejected 1",
    ]


@pytest.mark.parametrize(
    ("settings", "fault"),
    [
        ({"GW_CONFIG": ""}, "brackenlane: GW_CONFIG: names no file\n"),
        ({"GW_CONFIG": "absent.json"}, "brackenlane: GW_CONFIG: absent.json: No such file or directory\n"),
        (
            {"GW_CONFIG": str(ROOT / "example/config.json"), "GW_OPS": "here"},
            "brackenlane: ops: 'here' is no address and port\n",
        ),
    ],
)
def test_environment_names(settings: dict[str, str], fault: str) -> None:
    """The platform configures the program by GW_CONFIG and GW_OPS; faults in them are reported by name."""
    arguments = [sys.executable, "-m", "brackenlane"]
    completed = subprocess.run(
        arguments,
        cwd=ROOT,
        env={**os.environ, **settings},
        capture_output=True,
        text=True,
        timeout=EXIT_TIMEOUT,  # the program would not exit if it ignored a variable
    )
    assert (completed.returncode, completed.stderr) == (2, fault)


def test_command_names() -> None:
    """Commands and options of the command line, and commands of the console."""
    lab = cli.commands["lab"]
    assert isinstance(lab, click.Group)
    assert sorted(cli.commands) == ["appliance", "check", "completion", "console", "discover", "lab"]
    assert sorted(lab.commands) == ["fleet", "store"]
    assert {option for command in lab.commands.values() for p in command.params for option in p.opts} == {
        *("script", "--doormans", "--seed", "--out", "--port"),
    }
    arguments = [line.split()[0] for line in HELP.splitlines()]
    assert " ".join(arguments) == "boxes why drain restore purge purge start load help quit"


@pytest.mark.parametrize(
    ("key", "name"),
    [
        ("settings", "Module"),
        ("discovery", "Discovery"),
        ("coldstart", "ColdStarts"),
        ("class", "Class"),
        ("box", "BoxRecord"),
        ("discover", "Discover"),
    ],
)
def test_table_names_in_fault_lines(key: str, name: str) -> None:
    """Operators' scripts may match the lines that `check` prints."""
    value, path = ("[1]", f"{key}[0]") if key in ("class", "box", "discover") else ("1", key)
    with pytest.raises(ConfigError) as fault:
        read_appliance(f"{key} = {value}", "site.toml")
    assert (
        f"site.toml: {path}: 1: Input should be a valid dictionary or instance of {name}"
        in str(fault.value).splitlines()
    )


@pytest.mark.parametrize(
    ("table", "keys"),
    [
        (
            appliance.ApplianceFile,
            "name http dns zone console resolver redis settings class box discover discovery coldstart",
        ),
        (
            appliance.SettingsTable,
            "location locations gateway gateways mate hub_of seats link_kb_per_s pace_kb_per_s edge_cold "
            "parent_cold tick answer_slack connect_timeout purge_done max_attempts max_hold_off weights_told "
            "may_cancel may_probe second_copies direct joins",
        ),
        (
            appliance.ClassTable,
            "name aim give_up aim_stretch worth late_worth effect scope repeat_window fresh grace "
            "stale_worth in_parts uncached",
        ),
        (appliance.SlowStartTable, "share ramp factor span"),
        (appliance.CacheTable, "id host port zone role weight"),
        (appliance.SrvTable, "srv zone role weight_scale enough"),
        (
            appliance.DiscoveryTable,
            "grace most_gone confirm settle remembered warm floor ceiling negative stale last_list",
        ),
        (appliance.ColdStartTable, "doormans asks loads look_ups trust patience ready"),
    ],
)
def test_appliance_file_keys(table: type[BaseModel], keys: str) -> None:
    """Operators' files use these keys."""
    assert " ".join(field.alias or name for name, field in table.model_fields.items()) == keys
