"""Files, classes, functions and constants that the pages name exist, and the glossary is in order."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

from ambershift.system.events import EVENTS

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
BASES = (ROOT, *(ROOT / "ambershift" / part for part in ("system", "coordinator", "")), DOCS)
ARCHITECTURE, GLOSSARY = DOCS / "architecture.md", DOCS / "glossary.md"

CODE = re.compile(r"`([^`\n]+)`")
FILE = re.compile(r"[\w./-]+\.(?:py|md|toml|hcl|txt)")
NAME = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)?")
LINK = re.compile(r"\]\(([^)#\s]+)(#[^)\s]*)?\)")
HISTORY = {"incidents"}  # Write-ups of the past name what there was.


def pages() -> list[Path]:
    """Every page that tells how things are now."""
    return [
        *(ROOT / name for name in ("README.md", "CONTRIBUTING.md")),
        *(page for page in sorted(DOCS.rglob("*.md")) if page.parent.name not in HISTORY),
    ]


def path_of(token: str) -> Path | None:
    """Return the file or folder that a token names, from one of BASES."""
    return next((base / token for base in BASES if (base / token).exists()), None)


def targets(node: ast.stmt) -> Iterator[str]:
    """Yield the names that a statement binds in its scope."""
    match node:
        case ast.ClassDef() | ast.FunctionDef() | ast.AsyncFunctionDef():
            yield node.name
        case ast.Assign():
            for target in node.targets:
                yield from (part.id for part in ast.walk(target) if isinstance(part, ast.Name))
        case ast.AnnAssign(target=ast.Name(id=name)):
            yield name


def attributes(node: ast.ClassDef) -> Iterator[str]:
    """Yield what a class's methods assign to `self`."""
    for part in ast.walk(node):
        match part:
            case ast.Attribute(value=ast.Name(id="self"), attr=name, ctx=ast.Store()):
                yield name


@cache
def definitions(path: Path) -> frozenset[str]:
    """Return `name` of all that a module defines, and `Class.name` of what its classes do."""
    names = set[str]()
    for node in ast.parse(path.read_text("utf-8")).body:
        names.update(targets(node))
        if isinstance(node, ast.ClassDef):
            members = {member for part in node.body for member in targets(part)}
            names.update(f"{node.name}.{member}" for member in members | set(attributes(node)))
    return frozenset(names)


def blocks(page: Path) -> Iterator[str]:
    """Yield a page's rows, list items and paragraphs, without its pictures and commands."""
    block = ""
    for line in [*page.read_text("utf-8").splitlines(), ""]:
        if line.startswith("    "):
            continue
        begins = line.startswith(("|", "- ", "#")) or re.match(r"\d+\. ", line) or not line.strip()
        if begins and block:
            yield block
            block = ""
        block = f"{block} {line}".strip()


def missing_names(block: str) -> list[str]:
    """Return what a block names and is nowhere: files, and names that the file before them lacks."""
    file: Path | None = None
    missing = []
    for token in CODE.findall(block):
        if FILE.fullmatch(token) or token.endswith("/"):
            file = path_of(token)
            if file is None:
                missing.append(token)
        elif NAME.fullmatch(token) and (
            file is None or file.suffix != ".py" or token not in definitions(file)
        ):
            missing.append(f"{token} (of {file.name if file else 'no file'})")
    return missing


def glossary_rows() -> list[list[str]]:
    lines = [line for line in GLOSSARY.read_text("utf-8").splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[2:]]


@pytest.mark.parametrize("page", [ARCHITECTURE, GLOSSARY], ids=lambda page: page.name)
def test_each_name_on_the_page_exists(page: Path) -> None:
    assert [missing for block in blocks(page) for missing in missing_names(block)] == []


def test_a_name_that_is_nowhere_is_found() -> None:
    assert missing_names("`tests/docs/test_pages.py` `pages`, `DOCS`") == []
    assert missing_names("`tests/docs/test_pages.py` `nothing`") == ["nothing (of test_pages.py)"]
    assert missing_names("`tests/docs/test_pages.py` `Page.read`") == ["Page.read (of test_pages.py)"]
    assert missing_names("`tests/nowhere.py`, `pages`") == ["tests/nowhere.py", "pages (of no file)"]


def test_each_event_number_is_found_in_the_code_as_the_page_says() -> None:
    catalogue = ROOT / "ambershift/system/events.py"
    code = "\n".join(
        path.read_text("utf-8") for path in (ROOT / "ambershift/system").rglob("*.py") if path != catalogue
    )
    assert [number for number in EVENTS if not re.search(rf"\b{number}\b", code)] == []


def test_glossary_is_sorted_and_has_a_row_a_term() -> None:
    terms = [row[0].casefold() for row in glossary_rows()]
    assert terms == sorted(set(terms))


def test_each_term_of_the_glossary_has_a_place_in_the_code() -> None:
    without = []
    for row in glossary_rows():
        assert len(row) == 4, row
        tokens = CODE.findall(row[3])
        if (
            not tokens
            or not FILE.fullmatch(tokens[0])
            or not any(NAME.fullmatch(token) for token in tokens[1:])
        ):
            without.append(row[0])
    assert without == []


@pytest.mark.parametrize("page", pages(), ids=lambda page: str(page.relative_to(ROOT)))
def test_each_link_leads_to_a_file(page: Path) -> None:
    links = [link for link, _ in LINK.findall(page.read_text("utf-8")) if "://" not in link]
    assert [link for link in links if not (page.parent / link).exists()] == []


@pytest.fixture(scope="module")
def defined() -> frozenset[str]:
    """All names that modules of the repository define, with those of their classes as `Class.name`."""
    files = [path for top in ("ambershift", "benchmarks", "tests") for path in (ROOT / top).rglob("*.py")]
    return frozenset(name for path in files for name in definitions(path))


@pytest.mark.parametrize("page", pages(), ids=lambda page: str(page.relative_to(ROOT)))
def test_each_member_of_a_class_on_a_page_exists(page: Path, defined: frozenset[str]) -> None:
    members = re.findall(r"`([A-Z]\w+[.][a-z_]\w*)`", page.read_text("utf-8"))
    assert [name for name in members if name not in defined and not FILE.fullmatch(name)] == []


@pytest.mark.parametrize("page", pages(), ids=lambda page: str(page.relative_to(ROOT)))
def test_each_path_in_code_marks_exists(page: Path) -> None:
    paths = [
        token
        for token in CODE.findall(page.read_text("utf-8"))
        if "/" in token and (FILE.fullmatch(token) or re.fullmatch(r"[\w./-]+/", token))
    ]
    assert [token for token in paths if path_of(token) is None] == []
