"""Which module may import which: layers, modules without input or output, and cycles.

The whole of it is read from the syntax trees; nothing is imported. `docs/architecture.md` shows the layers.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator, Mapping
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]

# Packages and modules of ambershift/system from the bottom up: each imports only from rows below its own.
LAYERS = (
    ("messages", "settings", "events", "state_machine"),
    ("interfaces",),
    ("consensus", "configuration", "coordination", "registry", "node_selection", "transport", "proxy"),
    ("distribution", "control_api"),
    ("processes",),
    ("__main__", "testbed"),
    ("simulation",),
)
SHARED = {"ambershift.attempt", "ambershift.interface", "ambershift.policy", "ambershift.modelcheck"}
"""What ambershift.system uses of the rest of the tree; the model checker only in its simulation."""

IO_LIBRARIES = {"asyncio", "httpcore", "socket", "sqlite3", "ssl", "threading", "uvicorn", "websockets"}
PURE = (
    "ambershift.attempt",
    "ambershift.interface",
    "ambershift.policy",
    "ambershift.system.configuration",
    "ambershift.system.consensus",
    "ambershift.system.control_api.pause_detector",
    "ambershift.system.control_api.subscriptions",
    "ambershift.system.coordination",
    "ambershift.system.distribution",
    "ambershift.system.interfaces",
    "ambershift.system.messages",
    "ambershift.system.node_selection",
    "ambershift.system.proxy.admission",
    "ambershift.system.proxy.backend_instance",
    "ambershift.system.proxy.backend_view",
    "ambershift.system.proxy.client_limits",
    "ambershift.system.proxy.cold_start_limiter",
    "ambershift.system.proxy.headers",
    "ambershift.system.proxy.partition_detector",
    "ambershift.system.proxy.pick",
    "ambershift.system.proxy.retry_budget",
    "ambershift.system.proxy.retry_policy",
    "ambershift.system.proxy.routing",
    "ambershift.system.registry",
    "ambershift.system.state_machine",
)
"""Packages and modules of decisions: but for SHELLS they import no I/O library, nor a module that does."""

SHELLS = {
    "ambershift.system.consensus.cache_file": "the thread that replaces the cache file",
    "ambershift.system.consensus.disk": "the thread that owns the database",
    "ambershift.system.consensus.replicated_store": "awaitable calls around the replica and its disk",
    "ambershift.system.distribution.controller": "tasks of one control node's controller",
    "ambershift.system.registry.service": "awaitable calls around the registry",
    "ambershift.system.registry.tombstones": "awaitable writes of tombstones",
}

KNOWN_CYCLES = {
    frozenset({"ambershift.coordinator.group.gossip", "ambershift.coordinator.group.member"}),
    frozenset(
        f"ambershift.coordinator.groupsim.{name}"
        for name in ("clients", "faults", "judge", "network", "process", "world")
    ),
}
"""Cycles that are left, of the older program; this list only shrinks."""


def modules() -> dict[str, Path]:
    """Return the file of each module under ambershift/, by dotted name."""
    return {
        ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
        for path in sorted((ROOT / "ambershift").rglob("*.py"))
    }


def statements(tree: ast.AST) -> Iterator[ast.Import | ast.ImportFrom]:
    """Yield each import of a file, those within functions and under TYPE_CHECKING too."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import | ast.ImportFrom):
            yield node


def names_of(node: ast.Import | ast.ImportFrom, ours: Mapping[str, Path]) -> Iterator[str]:
    """Yield the modules that a statement names; the repository has no relative imports."""
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names)
        return
    assert node.level == 0, "relative imports aren't read here"
    assert node.module is not None
    for alias in node.names:
        full = f"{node.module}.{alias.name}"
        yield full if full in ours else node.module


@pytest.fixture(scope="module")
def imports() -> dict[str, set[str]]:
    """What each module imports: our modules by full name, libraries by their first name."""
    ours = modules()
    edges: dict[str, set[str]] = {}
    for module, path in ours.items():
        found = edges.setdefault(module, set())
        for node in statements(ast.parse(path.read_text("utf-8"))):
            for name in names_of(node, ours):
                if name in ours:
                    found.add(name)
                elif name.partition(".")[0] != "ambershift":
                    found.add(name.partition(".")[0])
        found.discard(module)
    return edges


def cycles(edges: Mapping[str, set[str]]) -> set[frozenset[str]]:
    """Return the strongly connected components of more than one module (Tarjan 1972)."""
    index: dict[str, int] = {}
    low: dict[str, int] = {}
    stack: list[str] = []
    components: set[frozenset[str]] = set()

    def visit(module: str) -> None:
        index[module] = low[module] = len(index)
        stack.append(module)
        for imported in edges.get(module, ()):
            if imported not in index:
                visit(imported)
                low[module] = min(low[module], low[imported])
            elif imported in stack:
                low[module] = min(low[module], index[imported])
        if low[module] == index[module]:
            at = stack.index(module)
            component = frozenset(stack[at:])
            del stack[at:]
            if len(component) > 1:
                components.add(component)

    for module in edges:
        if module not in index:
            visit(module)
    return components


def within(module: str, packages: tuple[str, ...] | set[str]) -> bool:
    return any(module == package or module.startswith(f"{package}.") for package in packages)


def layer(module: str) -> int:
    """Return the row of LAYERS that a module of ambershift.system stands in."""
    part = module.split(".")[2]
    rows = [number for number, names in enumerate(LAYERS) if part in names]
    assert len(rows) == 1, f"{module} has no layer: add {part} to LAYERS"
    return rows[0]


def test_cycles_are_found_by_this_test() -> None:
    assert cycles({"a": {"b"}, "b": {"c", "d"}, "c": {"a"}, "d": set()}) == {frozenset("abc")}


def test_no_cycles_of_imports_but_the_known_ones(imports: dict[str, set[str]]) -> None:
    assert cycles(imports) == KNOWN_CYCLES


def test_packages_of_the_system_import_only_from_layers_below(imports: dict[str, set[str]]) -> None:
    broken = [
        f"{module} imports {imported}"
        for module, imported_by in imports.items()
        if within(module, ("ambershift.system",)) and module != "ambershift.system"
        for imported in sorted(imported_by)
        if within(imported, ("ambershift.system",)) and imported != "ambershift.system"
        if module.split(".")[2] != imported.split(".")[2] and layer(imported) >= layer(module)
    ]
    assert broken == []


def test_the_system_imports_only_what_both_programs_share(imports: dict[str, set[str]]) -> None:
    broken = [
        f"{module} imports {imported}"
        for module, imported_by in imports.items()
        if within(module, ("ambershift.system",))
        for imported in sorted(imported_by)
        if imported.startswith("ambershift.") and not within(imported, SHARED | {"ambershift.system"})
    ]
    assert broken == []


def test_only_the_simulation_uses_the_model_checker(imports: dict[str, set[str]]) -> None:
    users = {
        module
        for module, imported_by in imports.items()
        if within(module, ("ambershift.system",))
        and any(within(name, ("ambershift.modelcheck",)) for name in imported_by)
    }
    assert all(within(module, ("ambershift.system.simulation",)) for module in users)


def test_the_coordinator_does_not_import_the_system(imports: dict[str, set[str]]) -> None:
    broken = [
        f"{module} imports {imported}"
        for module, imported_by in imports.items()
        if not within(module, ("ambershift.system", "ambershift.modelcheck"))
        for imported in sorted(imported_by)
        if within(imported, ("ambershift.system",))
    ]
    assert broken == []


def test_state_machines_import_no_input_or_output(imports: dict[str, set[str]]) -> None:
    doing_io = {module for module, imported_by in imports.items() if imported_by & IO_LIBRARIES}
    broken = [
        f"{module} imports {imported}"
        for module, imported_by in imports.items()
        if within(module, PURE) and module not in SHELLS
        for imported in sorted(imported_by)
        if imported in IO_LIBRARIES | doing_io | set(SHELLS)
    ]
    assert broken == []


def test_each_package_of_decisions_is_there(imports: dict[str, set[str]]) -> None:
    assert [name for name in PURE if name not in imports] == []


def test_each_shell_is_still_one(imports: dict[str, set[str]]) -> None:
    used = IO_LIBRARIES | set(SHELLS)
    assert [module for module in SHELLS if not imports.get(module, set()) & used] == []
