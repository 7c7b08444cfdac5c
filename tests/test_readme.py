"""The Python example in the README runs and prints the output that its last comment states."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.findall(r"```python\n(.*?)```", text, re.S)[0]
    exec(code, {})
    assert capsys.readouterr().out.strip() == code.rsplit("# ", 1)[1].strip()
