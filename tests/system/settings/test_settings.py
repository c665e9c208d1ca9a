"""The settings file: a complete one is read; the error of an invalid one names the file and the key."""

from pathlib import Path
from typing import Any

import pytest

from ambershift.system.__main__ import main
from ambershift.system.processes.settings_watch import SettingsFileWatch
from ambershift.system.settings.process_settings import SettingsError, read_settings
from ambershift.system.testbed.settings import CONTROL_NODE, PROXY, Machine, Site, toml


@pytest.fixture
def site(tmp_path: Path) -> Site:
    return Site(tmp_path, control_nodes=4, proxies=2, seed=1)


def machine(site: Site, kind: str) -> Machine:
    return site.of(kind)[0]


def test_complete_file_is_read(site: Site) -> None:
    control_node, proxy = machine(site, CONTROL_NODE), machine(site, PROXY)
    settings = read_settings(str(site.write(control_node, initial=True)))
    assert (settings.name, settings.ip, settings.zone, settings.region) == (
        control_node.name,
        control_node.ip,
        control_node.zone,
        control_node.region,
    )
    assert settings.initial and settings.counted and settings.data_directory == str(site.data(control_node))
    assert settings.listen_addresses["Control"] == site.control(control_node) and settings.zones == site.zones
    assert settings.heartbeat_interval_s == 0.5 and settings.tolerated_losses == (1, 1, 1)
    assert (
        settings.bounds.drain == 1.5 and settings.bounds.retry_ratio == 0.2 and settings.bounds.ttl_most == 2
    )
    assert settings.seed_ips == tuple(one.ip for one in site.of(CONTROL_NODE)[:3])
    proxy_settings = read_settings(str(site.write(proxy, initial=False)))
    assert proxy_settings.data_directory is None
    assert not proxy_settings.initial and not proxy_settings.counted


def test_unknown_fields_are_ignored_and_missing_bounds_have_defaults(site: Site) -> None:
    tables = site.settings(machine(site, PROXY), initial=False)
    tables["Later"] = {"Field": [1, 2]}
    tables["Provisions"]["TimerBounds"] = {"GraceS": 2.5, "Fenced": True}
    path = site.folder / "more.toml"
    path.write_text(toml(tables))
    assert read_settings(str(path)).bounds.grace == 2.5
    assert read_settings(str(path)).bounds.contact == 4.0


MISSING = object()


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("SelfEntity.NodeName", MISSING),
        ("SelfEntity.NodeName", 7),
        ("SelfEntity.Zone", MISSING),
        ("SelfEntity.InitialStart", "yes"),
        ("Network.InternalPorts", [7620]),
        ("Network.InternalPorts", [0, 70000]),
        ("Network.InternalPorts", MISSING),
        ("Network.SeedNodes", ["10.1.0.18"]),
        ("Network.SeedNodes", [7]),
        ("Network.Listen.Front", "10.1.0.18:http"),
        ("Network.Listen.Front", "10.1.0.18:70000"),
        ("Network.Listen", MISSING),
        ("Network.Zones", "a"),
        ("Platform.HeartbeatMs", "500"),
        ("Platform.HeartbeatMs", True),
        ("Provisions.Tolerance.Machines", 0.5),
        ("Provisions.TimerBounds.GraceS", "6"),
        ("Provisions.TimerBounds.DrainMs", True),
    ],
)
def test_error_names_file_and_key_of_an_invalid_value(
    site: Site, capsys: pytest.CaptureFixture[str], key: str, value: Any
) -> None:
    tables = site.settings(machine(site, PROXY), initial=False)
    *path, last = key.split(".")
    table = tables
    for part in path:
        table = table[part]
    if value is MISSING:
        del table[last]
    else:
        table[last] = value
    file = site.folder / "bad.toml"
    file.write_text(toml(tables))
    with pytest.raises(SettingsError) as raised:
        read_settings(str(file))
    assert (raised.value.file, raised.value.key) == (str(file), key) and raised.value.reason
    assert main(["check-settings", str(file)]) == 1
    error = capsys.readouterr().err
    assert error.count("\n") == 1 and str(file) in error and f"'{key}'" in error


@pytest.mark.parametrize("content", [None, b"[SelfEntity\n", b"\xff\xfe = 1\n"])
def test_error_names_a_file_that_cannot_be_read(tmp_path: Path, content: bytes | None) -> None:
    file = tmp_path / "local.toml"
    if content is not None:
        file.write_bytes(content)
    with pytest.raises(SettingsError) as raised:
        read_settings(str(file))
    assert raised.value.file == str(file) and str(file) in str(raised.value)
    assert main(["proxy", "--settings", str(file)]) == 2


def test_file_change_without_a_signal_is_noticed_once(tmp_path: Path) -> None:
    file = tmp_path / "local.toml"
    file.write_text("a = 1")
    watch = SettingsFileWatch(str(file))
    assert not watch.has_changed()
    other = tmp_path / "new.toml"
    other.write_text("a = 23")
    other.replace(file)
    assert watch.has_changed() and not watch.has_changed()
    file.unlink()
    assert not watch.has_changed()
