"""The simulator's program as a subprocess, with input written for these tests."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from typing import Any

import pytest

CONFIG: dict[str, Any] = {
    "Classes": [{"Name": "clip", "TargetS": 0.5, "GiveUpS": 4.0, "Effect": "retryable", "Worth": 1.0}],
    "Dcs": ["mid", "rim"],
    "Locality": "rim",
    "Me": 0,
    "NInstances": 1,
    "QuantumS": 0.002,
    "NewKey": [1],
    "Skus": ["box", "up", "store"],
    "Limits": {"MaxAttempts": 3, "Cancel": True},
    "FamilyInfo": {
        "HubByZone": [0, 0],
        "SeatsByZone": [0, 1],
        "SecondTierKind": 1,
        "StoreKind": 2,
        "PaceKbPerS": 1000.0,
        "SharesFills": True,
        "GoneEverywhereS": 6.0,
    },
}
MEMBERSHIP_LINES = """MEMBERSHIP I=1 Kind=remembered Index=1 Members=3
CACHE Cache=1.1.1.1:1 Campus=rim GenerationHw=box Availability=SERVING CapacityHint=4
CACHE Cache=2.2.2.2:2 Campus=mid GenerationHw=up Availability=SERVING CapacityHint=9
CACHE Cache=3.3.3.3:3 Campus=mid GenerationHw=store Availability=SERVING CapacityHint=1
"""


def launch(**changes: Any) -> str:
    """Return the lines that start an instance and list its servers; changes: of the configuration."""
    return f"LAUNCH I=1 InitSeed=7 Config={json.dumps({**CONFIG, **changes})}\n{MEMBERSHIP_LINES}"


def batch(number: int, events: str, at: float = 1.0) -> str:
    """Return the lines of a batch of events."""
    return f"MARK TimeS={at} n={number}\n{events}COMMIT\n\n"


def run_simulator(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run the program on an input until it exits."""
    return subprocess.run(
        [sys.executable, "-m", "brackenlane.routing.simulator"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )


REQUEST = "INCOMING I=1 MsgId=q{n} TimeLeftS=2.5 File=h:a{n} Segment=0 Group=1 Band=clip SizeKb=200 Extra=9\n"


def test_batches_are_answered_in_order() -> None:
    text = batch(0, "") + batch(1, launch()) + batch(2, REQUEST.format(n=1) + "STRANGE I=1 What=a b=c\n")
    text += batch(
        3,
        "RESULT I=1 MsgId=q1 SeqNo=0 Cache=1.1.1.1:1 Verdict=0 WaitTimeS=0.2 Terminal=1 Note=99 "
        "Usage=util:0.5,x0:0.1\nOUTDATED I=1 File=0 Tag=1 OldnessS=0.1\n",
        1.5,
    )
    text += batch(4, REQUEST.format(n=2), 2.0) + batch(5, "STOP I=1\n") + batch(6, REQUEST.format(n=3))
    completed = run_simulator(text)
    assert completed.returncode == 0
    assert completed.stderr == ""
    replies = re.split(r"EOR n=\d+\n", completed.stdout)
    assert replies[0] == replies[1] == replies[3] == replies[5] == replies[6] == ""
    assert "FETCH_THROUGH I=1 MsgId=q1 Cache=1.1.1.1:1 PatienceS=2.500000 Supplier=2.2.2.2:2" in replies[2]
    assert "SET_TIMER I=1 Handle=1 AtS=3.500000" in replies[2]
    assert "OldnessS=0.598000" in replies[4]


def test_same_actions_under_any_hash_seed() -> None:
    requests = "".join(REQUEST.format(n=n) for n in range(300))
    text = batch(1, launch()) + batch(2, requests)
    assert run_simulator(text, "1").stdout == run_simulator(text, "2").stdout != ""


@pytest.mark.parametrize(
    ("text", "reported"),
    [
        ("MARK TimeS=1 n=1\nINCOMING I=1 MsgId\n", "line 2: 'MsgId'"),
        ("INCOMING I=1\n", "line 1: 'INCOMING' outside"),
        ("MARK TimeS=x n=1\n", "line 1: MARK without a time"),
        ("MARK TimeS=1 n=1\nCOMMI", "line 2"),
        ("MARK TimeS=1 n=1\n", "ends inside a batch"),
        (batch(1, launch()) + batch(2, "INCOMING I=1 MsgId=q TimeLeftS=soon\n"), "INCOMING"),
        (batch(1, launch().replace("Members=3", "Members=4")), "4 entries announced, 3 follow"),
        (batch(1, launch(Locality="moon")), 'LAUNCH: settings.Locality: "moon": not among Dcs'),
        (batch(1, launch(Classes=[])), "LAUNCH: settings.Classes: []: one or more classes"),
        (batch(1, "LAUNCH I=1 Config={}\n"), "LAUNCH: settings.Dcs: missing"),
        (batch(1, launch(NInstances=0)), "LAUNCH: settings.NInstances: 0: must be at least 1"),
        (batch(1, "LAUNCH I=1 Config={no\n"), "LAUNCH"),
        (batch(1, "LAUNCH I=1 Config=[]\n"), "LAUNCH: settings: []: must be an object"),
        (batch(1, f"LAUNCH I=1 Config={'[' * 100_000}\n"), "LAUNCH: Config: nested too deeply"),
        (batch(1, launch(QuantumS=float("nan"))), "LAUNCH: settings.QuantumS: NaN: must be a finite number"),
    ],
)
def test_unreadable_input_ends_with_one_line_and_no_partial_reply(text: str, reported: str) -> None:
    completed = run_simulator(text)
    assert completed.returncode != 0
    assert reported in completed.stderr
    assert completed.stderr.count("\n") == 1
    assert completed.stdout == "" or completed.stdout.endswith("EOR n=1\n")


def test_failed_decision_is_reported_as_an_exception_of_its_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    from brackenlane.routing import simulator
    from brackenlane.routing.events import ClientDisconnected
    from brackenlane.routing.simulator_codec import Message

    host = simulator.SimulatorHost()
    host.apply(Message(1, "LAUNCH", {"I": "1", "InitSeed": "7", "Config": json.dumps(CONFIG)}))

    def broken(*_: object) -> None:
        raise IndexError("index\nout of range")

    monkeypatch.setattr(host.instances["1"].router, "handle", broken)
    assert host.decide("1", ClientDisconnected("q"), 1.0) == [
        "EXCEPTION I=1 What=IndexError: index out of range"
    ]
