"""Load reports: only the entries that cannot be used are skipped."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenlane.routing.events import Outcome
from brackenlane.routing.load_report import NAMES, read_load_report
from brackenlane.routing.simulator_codec import Message, read_event

ReportEntries = tuple[tuple[str, float], ...]


@pytest.mark.parametrize(
    ("text", "values"),
    [
        ("", ()),
        ("util:0.62,inflight:7,x1:1.25", (("util", 0.62), ("inflight", 7.0), ("x1", 1.25))),
        ("util:0.62,swap_mb:12,x1:1.25", (("util", 0.62), ("x1", 1.25))),  # an unknown name
        ("util:nan,x0:0.5", (("x0", 0.5),)),
        ("util:inf,qps:-inf,x0:0.5", (("x0", 0.5),)),
        ("util:-0.1,x0:0.5", (("x0", 0.5),)),
        ("util:1e300,x0:0.5", (("x0", 0.5),)),
        ("util:half,x0:0.5", (("x0", 0.5),)),
        ("util:,x0:0.5", (("x0", 0.5),)),
        ("util,x0:0.5", (("x0", 0.5),)),  # no value
        (":0.3,x0:0.5,,", (("x0", 0.5),)),  # no name
        ("util:0.3:0.4,x0:0.5", (("x0", 0.5),)),
        ("util:0.3;x0:0.5", ()),  # the separator of another protocol
    ],
)
def test_unusable_entries_are_skipped(text: str, values: ReportEntries) -> None:
    """An unusable entry does not discard the rest of the report or the outcome that carries it."""
    assert read_load_report(text, ",") == values
    fields = {"MsgId": "q", "SeqNo": "0", "Verdict": "0", "Usage": text}
    outcome = read_event(Message(1, "RESULT", fields))
    assert isinstance(outcome, Outcome)
    assert outcome.report == values
    assert read_load_report(text.replace(",", "|"), "|") == values


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text() | st.lists(st.sampled_from([*NAMES, ":", ",", "1", "nan", "-"])).map("".join))
def test_any_text_is_accepted(text: str) -> None:
    """Any text is parsed without an exception into known names and finite numbers that are not negative."""
    for name, value in read_load_report(text, ","):
        assert name in NAMES
        assert 0 <= value < float("inf")
