"""Which checkout each machine of a rehearsal runs from."""

from __future__ import annotations

from pathlib import Path

import pytest

from ambershift.system.testbed.__main__ import main
from ambershift.system.testbed.processes import ROOT, Child, checkouts, is_checkout
from ambershift.system.testbed.rig import Rig
from ambershift.system.testbed.settings import CONTROL_NODE, PROXY, Site

OTHER = Path("/other")


def test_without_another_checkout_all_run_from_this_one(tmp_path: Path) -> None:
    site = Site(tmp_path, control_nodes=3, proxies=2)
    found = checkouts(site.machines.values(), None)
    assert found == dict.fromkeys(site.machines, ROOT) and is_checkout(ROOT)
    assert Child(site, site.of(PROXY)[0]).checkout == ROOT


@pytest.mark.parametrize(
    ("control_nodes", "proxies", "of_other"), [(6, 6, (3, 3)), (5, 2, (2, 1)), (1, 3, (0, 1))]
)
def test_half_of_each_kind_run_from_the_other_checkout(
    tmp_path: Path, control_nodes: int, proxies: int, of_other: tuple[int, int]
) -> None:
    site = Site(tmp_path, control_nodes, proxies)
    found = checkouts(site.machines.values(), OTHER)
    assert found.keys() == site.machines.keys() and set(found.values()) <= {ROOT, OTHER}
    counts = [sum(found[one.name] == OTHER for one in site.of(kind)) for kind in (CONTROL_NODE, PROXY)]
    assert tuple(counts) == of_other


def test_a_rig_hands_each_process_its_checkout(tmp_path: Path) -> None:
    site = Site(tmp_path, 4, 4)
    rig = Rig(site, 4, 10.0, lambda line: None, other_checkout=OTHER)
    assert {name: child.checkout for name, child in rig.children.items()} == checkouts(
        site.machines.values(), OTHER
    )


@pytest.mark.parametrize("more", [(), ("--hollow", "2")])
def test_a_folder_that_is_no_checkout_is_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], more: tuple[str, ...]
) -> None:
    other = ROOT if more else tmp_path
    assert main(["--other-checkout", str(other), *more]) == 2
    assert "nothing started" in capsys.readouterr().err
