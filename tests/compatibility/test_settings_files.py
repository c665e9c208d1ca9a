"""Settings files as 2b2dd96 wrote and read them give the same values, in the same order of fields."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.compatibility.plain_values import read_all

FOLDER = Path(__file__).parent / "fixtures" / "settings"


@pytest.mark.parametrize("program", ["control", "proxy", "coordinator", "own"])
def test_settings_file_gives_the_values_that_it_gave(program: str) -> None:
    read = json.loads(json.dumps(read_all(FOLDER)[program]))
    assert read == json.loads((FOLDER / "values.json").read_text())[program]
