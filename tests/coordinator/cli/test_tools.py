"""Settings, the command line, the runtime API's grammar, and that the platform's start loads none of it."""

import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ambershift.coordinator.cli.commands import LAZY
from ambershift.coordinator.cli.ctl import batch
from ambershift.coordinator.cli.logs import make
from ambershift.coordinator.runtime import catalogue, document, lookup
from ambershift.coordinator.runtime.execute import Executor
from ambershift.coordinator.runtime.grammar import Command, GrammarError, quote, read
from ambershift.coordinator.runtime.session import PAYLOAD_MOST, Level, Session
from ambershift.coordinator.settings.model import Root, duration, read_file, read_text
from ambershift.coordinator.settings.tree import SettingsError
from ambershift.version import VERSION
from tests.support.coordinator_process import ROOT, configure, listing

TOOLS = (
    "click",
    "hcl2",
    "lark",
    "msgspec",
    "rpds",
    "structlog",
    "prompt_toolkit",
    "ambershift.coordinator.admin",
    "ambershift.coordinator.runtime",
    "ambershift.coordinator.settings",
    "ambershift.coordinator.cli",
)


def ambershift(*words: str, given: bytes = b"", **environment: str) -> subprocess.CompletedProcess[bytes]:
    import os

    return subprocess.run(
        [sys.executable, "-B", "-m", "ambershift", *words],
        check=False,
        cwd=ROOT,
        input=given,
        capture_output=True,
        timeout=60,
        env={**os.environ, **environment},
    )


# The platform's start


def test_the_platforms_start_loads_no_library_of_the_tools() -> None:
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert run.endswith("-m ambershift")
    code = (
        "import sys; sys.argv = ['ambershift']; import ambershift.__main__ as one; one.main(); "
        "print(*sorted(sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-B", "-c", code],
        check=False,
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={"PATH": ""},
    )
    told, *loaded = done.stdout.decode().splitlines()
    assert "BALANCER_CONFIG is not set" in told and "ambershift.coordinator.program.assembly" in loaded[0]
    inner = tuple(f"{one}." for one in TOOLS)
    found = [name for name in loaded[0].split() if name in TOOLS or name.startswith(inner)]
    assert found == []


def imported_parts(place: Path) -> set[str]:
    """What a module imports of ambershift: parts of the coordinator by their names, all else by its first."""
    text = place.read_text()
    dotted = re.findall(r"^\s*(?:from|import) ambershift\.(?:coordinator\.)?(\w+)", text, re.MULTILINE)
    several = re.findall(
        r"^\s*from ambershift(?:\.coordinator)? import (\([^)]*\)|[^\n]*)", text, re.MULTILINE
    )
    return {*dotted, *(name for names in several for name in re.findall(r"\w+", names))}


def test_layers_import_downwards_only() -> None:
    program = ("program", "protocol", "routing", "transport")
    below = {
        **dict.fromkeys(program, ("admin", "runtime", "settings", "cli", "benchlink")),
        "admin": ("runtime", "settings", "cli", *program, "benchlink"),
        "settings": ("runtime", "cli", *program, "admin", "benchlink"),
        "runtime": ("cli", "settings", "benchlink"),
    }
    core = [
        *(ROOT / "ambershift/policy").glob("*.py"),
        *(
            ROOT / "ambershift" / name
            for name in ("interface.py", "policy_settings.py", "id_index.py", "proxy_state.py")
        ),
    ]
    for folder, above in below.items():
        places = list((ROOT / "ambershift/coordinator" / folder).rglob("*.py"))
        assert places, folder
        for place in [*places, *(core if folder in program else ())]:
            assert not imported_parts(place) & set(above), place
    for place in core:
        names = set(re.findall(r"^\s*from ambershift\.(\w+)", place.read_text(), re.MULTILINE))
        assert names <= {"interface", "policy_settings", "id_index", "proxy_state", "policy"}, place


def test_the_desk_does_no_io() -> None:
    for place in (ROOT / "ambershift/coordinator/admin").glob("*.py"):
        names = set(re.findall(r"^\s*(?:from|import) (\w+)", place.read_text(), re.MULTILINE))
        assert not names & {"asyncio", "socket", "time", "random", "os", "threading", "pathlib"}, place


# The command line


def test_every_sub_command_has_help_with_an_example_and_version_speaks_json() -> None:
    shown = ambershift("--help").stdout.decode()
    for name in LAZY:
        assert name in shown
        done = ambershift(name, "--help")
        assert done.returncode == 0 and b"Example:" in done.stdout, name
    assert json.loads(ambershift("version", "--json").stdout)["ambershift"] == VERSION
    assert f'version = "{VERSION}"' in (ROOT / "pyproject.toml").read_text()


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (["bogus"], "No such command"),
        (["ctl", "show", "info"], "Name a socket"),
        (["check-settings"], "FILE"),
        (["check-settings", "/nowhere.hcl"], "can't be read"),
        (["run", "--settings", "/nowhere.hcl"], "can't be read"),
        (["ctl", "-s", "/a", "-s", "/a", "help"], "named twice"),
        (["ctl", "-s", "/a", "--timeout", "0", "x"], "above 0"),
        (["run"], "BALANCER_CONFIG"),
        (["version", "--nope"], "No such option"),
    ],
)
def test_usage_and_bad_input_end_with_2_and_one_line(words: list[str], told: str) -> None:
    done = ambershift(*words)
    assert done.returncode == 2 and told in done.stderr.decode(), done
    assert len(done.stderr.decode().splitlines()) == 1


def test_ctl_tells_of_each_coordinator_by_itself_and_fails_if_one_is_away(tmp_path: Path) -> None:
    done = ambershift("ctl", "-s", str(tmp_path / "a"), "-s", str(tmp_path / "b"), "--json", "show", "info")
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 1 and [row["ok"] for row in rows] == [False, False]
    assert [Path(row["target"]).name for row in rows] == ["a", "b"] and "can't connect" in rows[0]["error"]


def test_a_batch_is_read_whole_before_anything_of_it_is_sent(tmp_path: Path) -> None:
    done = ambershift("ctl", "-s", str(tmp_path / "a"), given=b"show info\nshow \x01\n")
    assert done.returncode == 2 and b"line 2" in done.stderr
    rows = list(batch(b"# drains\nshow info; show stat\n\napply <<END\ndisable server a/b\n\nEND\nhelp\n"))
    assert rows == [
        ("show info", None),
        ("show stat", None),
        ("apply", "disable server a/b\n"),
        ("help", None),
    ]
    with pytest.raises(GrammarError, match=r"line 1.*END"):
        list(batch(b"apply <<END\nx\n"))


def test_the_log_has_levels_and_leaves_out_what_is_below() -> None:
    lines = list[dict[str, object]]()

    class Writer:
        write = staticmethod(lines.append)

    log = make(Writer(), "warning")  # type: ignore[arg-type]
    for event in ("ready", "list_failed", "failure"):
        log({"event": event, "why": "x"})
    assert [(line["event"], line["level"], line["why"]) for line in lines] == [
        ("list_failed", "warning", "x"),
        ("failure", "error", "x"),
    ]


# Settings


def test_the_deployed_example_is_good_and_defaults_are_shown() -> None:
    root = read_file(str(ROOT / "deploy/runtime.hcl"))
    assert root.runtime.socket[0].level == "admin" and root.runtime.tcp[0].level == "user"
    shown = json.loads(ambershift("check-settings", "--json", "deploy/runtime.hcl").stdout)
    assert shown["ok"] and shown["settings"]["runtime"]["max_connections"] == 64
    assert read_text("", "x") == Root()


@pytest.mark.parametrize(
    ("text", "line", "key", "what"),
    [
        ('runtime {\n socket "/a" { mode = "0999" }\n}', 2, "runtime.socket[0].mode", "no mode"),
        ('runtime {\n socket "a" {}\n}', 2, "runtime.socket[0].path", "no absolute path"),
        (
            'runtime {\n socket "/a" {}\n socket "/a" {}\n}',
            3,
            "runtime.socket[1]",
            "runtime.socket[0] already",
        ),
        ('runtime {\n socket "/a" {\n  level = "root"\n }\n}', 3, "runtime.socket[0].level", "root"),
        ("runtime {\n socket {}\n}", 2, "runtime.socket", "one label"),
        ('runtime {\n socket "/a" { path = "/b" }\n}', 2, "runtime.socket[0].path", "the label"),
        ('runtime {\n tcp "10.0.0.1:80" {}\n}', 2, "runtime.tcp[0].address", "not a loopback"),
        ('runtime {\n tcp "localhost:80" {}\n}', 2, "runtime.tcp[0].address", "no IPv4"),
        ('runtime {\n tcp "127.0.0.1" {}\n}', 2, "runtime.tcp[0].address", "no address"),
        ("runtime {\n max_connections = 0\n}", 2, "runtime.max_connections", ">= 1"),
        ('runtime {\n max_connections = "x"\n}', 2, "runtime.max_connections", "int"),
        ('runtime {\n timeout = "soon"\n}', 2, "runtime.timeout", "no time"),
        ("runtime {\n\n sockets = 1\n}", 3, "runtime.sockets", "no such key"),
        ("runtime {}\nruntime {}", 2, "runtime", "second time"),
        ('runtime "x" {}', 1, "runtime", "no label"),
        ('log {\n level = "info"\n level = "debug"\n}', 3, "log.level", "second time"),
        ('log {\n level = "${x}"\n}', 2, "log.level", "expressions"),
        ("log {\n level = x\n}", 2, "log.level", "names"),
        ("runtime {\n", 2, "", "can't be read as HCL"),
        ("log {\n level = \n}", 2, "", "can't be read as HCL"),
        ("nope = 1", 1, "nope", "no such key"),
    ],
)
def test_bad_settings_name_file_line_and_key(text: str, line: int, key: str, what: str) -> None:
    with pytest.raises(SettingsError) as caught:
        read_text(text, "my.hcl")
    error = caught.value
    assert (error.line, error.key) == (line, key) and what in str(error)
    assert str(error).startswith(f"my.hcl:{line}")


def test_a_file_that_is_no_text_or_no_settings_size(tmp_path: Path) -> None:
    place = tmp_path / "x.hcl"
    for data, words in ((b"a = 1\n\xff", "x.hcl:2: is no UTF-8"), (b" " * (2 << 20), "no settings are")):
        place.write_bytes(data)
        with pytest.raises(SettingsError, match=words):
            read_file(str(place))


@pytest.mark.parametrize(
    ("text", "ns"),
    [
        ("500ms", 500_000_000),
        ("2m", 120_000_000_000),
        ("24h", 86_400 * 10**9),
        ("25h", None),
        ("0s", None),
        ("1.5s", None),
        ("", None),
        ("5", None),
    ],
)
def test_durations(text: str, ns: int | None) -> None:
    assert duration(text) == ns


def test_run_with_broken_platform_configuration_names_its_key(tmp_path: Path) -> None:
    place = tmp_path / "config.json"
    place.write_text(json.dumps(configure(1, 1, 1, listing(1)) | {"seed": "xyz"}))
    done = ambershift("run", "--config", str(place))
    assert done.returncode == 2 and b"'seed'" in done.stderr and json.loads(done.stdout)["level"] == "error"


# The catalogue and the grammar


def test_each_command_is_in_the_table_once_and_has_what_it_says() -> None:
    for entry in catalogue.TABLE:
        assert lookup.find(entry.path) == (entry, ())
        assert bool(entry.handler) == (entry.kind is not catalogue.Kind.REFUSED) and entry.note
        assert not entry.handler or callable(getattr(Executor, f"do_{entry.handler}"))
    for name in (
        "show info",
        "show stat",
        "show servers state",
        "show servers conn",
        "show backend",
        "show activity",
        "show events",
        "show errors",
        "show version",
        "get weight",
        "set weight",
        "set server",
        "enable server",
        "disable server",
        "show pending",
        "wait",
        "set rate-limit connections global",
    ):
        assert lookup.find(tuple(name.split())) is not None, name


def test_the_table_in_the_docs_is_the_catalogue() -> None:
    text = (ROOT / document.PLACE).read_text()
    assert document.rewrite(text) == text


PRINTED = st.characters(min_codepoint=33, max_codepoint=0x2FF, exclude_characters="\x7f")
WORDS = st.lists(st.text(PRINTED, min_size=1, max_size=12), min_size=1, max_size=6)


@settings(derandomize=True, database=None, max_examples=300)
@given(WORDS)
def test_quoted_words_are_read_as_themselves(words: list[str]) -> None:
    words = [word.replace("<", "{") for word in words]
    row = read(" ".join(map(quote, words)).encode())
    assert [one.words for one in row.commands] == [tuple(words)] and row.pattern is None


@settings(derandomize=True, database=None, max_examples=500)
@given(st.binary(max_size=200))
def test_whatever_comes_is_commands_or_a_grammar_error(line: bytes) -> None:
    session = Session("x", Level.USER)
    for one in (line, b"", line):
        try:
            for command in session.take(one.replace(b"\n", b" ")):
                assert command.words and all(command.words)
        except GrammarError as error:
            assert str(error)
        assert len(session.payload) <= PAYLOAD_MOST


@pytest.mark.parametrize(
    ("line", "commands", "pattern"),
    [
        (b"show info", [("show", "info")], None),
        (b" a\tb ;; c ;", [("a", "b"), ("c",)], None),
        (b"a\\ b\\;c d", [("a b;c", "d")], None),
        (b"a; set x <<", [("a",), ("set", "x")], ""),
        (b"apply <<END", [("apply",)], "END"),
        (b"a \\<\\<", [("a", "<<")], None),
        (b"", [], None),
    ],
)
def test_lines(line: bytes, commands: list[tuple[str, ...]], pattern: str | None) -> None:
    row = read(line)
    assert [one.words for one in row.commands] == commands and row.pattern == pattern


@pytest.mark.parametrize(
    "line", [b"a\\", b"\xff", b"a\0b", b"a << ; b", b"<<", b"a <<TOOLONGPATTERN", b"\x1b[31m"]
)
def test_lines_that_can_not_be_read(line: bytes) -> None:
    with pytest.raises(GrammarError):
        read(line)


def test_a_payload_goes_with_the_last_command_and_a_bad_one_drops_it_whole() -> None:
    session = Session("x", Level.ADMIN)
    assert session.take(b"help; apply <<END") == [] and session.in_payload
    assert session.take(b"one") == [] and session.take(b"") == []
    assert session.take(b"END") == [Command(("help",), "help"), Command(("apply",), "apply", "one\n")]
    session.take(b"apply <<")
    with pytest.raises(GrammarError):
        session.take(b"\xff")
    assert not session.in_payload and session.take(b"help") == [Command(("help",), "help")]
