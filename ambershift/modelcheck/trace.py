"""Traces that a person can read, and a machine; and the regression test that one turns into."""

from __future__ import annotations

from typing import Any

from ambershift.modelcheck.explore import Fault, replay
from ambershift.modelcheck.model import Model


def moments(model: Model, places: tuple[int, ...]) -> list[dict[str, Any]]:
    """Each step, and what every party believes after it, of what changed by it."""
    found, before = list[dict[str, Any]](), list[str]()
    for at, (name, state) in enumerate(replay(model, places)):
        beliefs = model.show(state)
        found.append({"step": at, "what": name, "beliefs": [one for one in beliefs if one not in before]})
        before = beliefs
    return found


def text(model: Model, fault: Fault) -> list[str]:
    lines = [
        f"{fault.property} does not hold: {fault.sentence}",
        f"  {fault.why}",
        f"  after {len(fault.places)} steps:",
    ]
    for one in moments(model, fault.places):
        lines.append(f"  {one['step']:>3}. {one['what']}")
        lines += [f"         {belief}" for belief in one["beliefs"]] if one["step"] else []
    lines.append(
        f"  again: ambershift check-model --model {model.name} --replay " + ",".join(map(str, fault.places))
    )
    return lines


def as_test(model: Model, fault: Fault) -> str:
    """A test that fails as long as the fault is there: the way must keep the property, where it still
    exists.
    """
    name = fault.property.replace("-", "_")
    return f'''def test_{model.name.replace("-", "_")}_{name}_along_this_way() -> None:
    """{fault.sentence}"""
    model = models()["{model.name}"]
    with contextlib.suppress(ValueError):  # A step that is not possible any more ends the way.
        for _, state in replay(model, {fault.places!r}):
            assert all(one.check(state) is None for one in model.properties)
'''
