"""`ambershift check-model`: the state machines that run, explored in the small."""

from __future__ import annotations

import contextlib
import sys
from typing import Any

import click
import orjson

from ambershift.modelcheck import liveness, trace
from ambershift.modelcheck.explore import Fault, Options, Result, explore, replay, walk
from ambershift.modelcheck.model import Model
from ambershift.modelcheck.mutants import broken, by_name, simulated
from ambershift.modelcheck.registry import models, usual


@click.command("check-model")
@click.option("--model", "names", multiple=True, help="Only this model; several times for several.")
@click.option("--depth", type=click.IntRange(1), help="No more steps than this from the beginning.")
@click.option("--mutant", "mutant", help="With one place of the real machines broken.")
@click.option("--list", "listing", is_flag=True, help="The models with their properties, and the mutants.")
@click.option("--workers", type=click.IntRange(1, 64), default=1, show_default=True, help="Processes.")
@click.option(
    "--memory-mb",
    type=click.FloatRange(64),
    default=4096.0,
    show_default=True,
    help="Stop with a report beyond this.",
)
@click.option("--walks", type=click.IntRange(1), help="So many random walks in place of all states.")
@click.option("--length", type=click.IntRange(1), default=60, show_default=True, help="Steps of a walk.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of the walks.")
@click.option("--without", multiple=True, help="Leave this property out.")
@click.option("--no-symmetry", is_flag=True, help="Tell states apart by names that mean nothing.")
@click.option("--no-reduction", is_flag=True, help="Take all steps, in every order.")
@click.option("--replay", "way", help="Show the way of these step numbers, parted by commas.")
@click.option("--as-test", is_flag=True, help="Print a regression test for what is found.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a model.")
def command(
    names: tuple[str, ...],
    depth: int | None,
    mutant: str | None,
    listing: bool,
    workers: int,
    memory_mb: float,
    walks: int | None,
    length: int,
    seed: int,
    without: tuple[str, ...],
    no_symmetry: bool,
    no_reduction: bool,
    way: str | None,
    as_test: bool,
    as_json: bool,
) -> int:
    """Explore the state machines that run, and tell the shortest way to a fault.

    Exit code 0: all properties hold; 1: one does not; 2: usage.

    Example: ambershift check-model --model row --workers 4
    """
    known = models()
    if listing:
        show_list(known, as_json)
        return 0
    change = None
    if mutant is not None:
        if (shown := simulated().get(mutant)) is not None:
            beyond = " --beyond" if shown.beyond else ""
            raise click.UsageError(
                f"'{mutant}' is shown by a simulated history: python -m "
                f"benchmarks.group_schedules --seeds 1 --from {shown.seed}{beyond} "
                f"--mutant {mutant} --trace"
            )
        if (change := by_name().get(mutant)) is None:
            raise click.UsageError(f"No mutant '{mutant}'; --list shows them.")
        names = names or (change.model,)
    for name in names:
        if name not in known:
            raise click.UsageError(f"No model '{name}'; there are: {', '.join(known)}.")
    unknown = set(without) - {one.name for model in known.values() for one in model.properties}
    if unknown:
        raise click.UsageError(f"No property '{min(unknown)}'; --list shows them.")
    options = Options(
        depth, workers, not no_symmetry, not no_reduction, memory_mb=memory_mb, without=frozenset(without)
    )
    with broken(change) if change else contextlib.nullcontext():
        if way is not None:
            return show_way(known, names, way, as_json)
        failed = False
        for name in names or usual():
            model = known[name]
            result = (
                walk(model, seed, walks, length, options)
                if walks
                else explore(model, options, progress(name))
            )
            live = [] if walks or result.fault or depth else lively(model, result, without)
            report(model, result, live, as_json, as_test)
            failed |= result.fault is not None or any(fault for _, fault, _ in live)
    return int(failed)


def progress(name: str) -> Any:
    """On a terminal: a line that is written over while a long run goes on."""
    if not sys.stderr.isatty():
        return None
    return lambda states, depth, seconds: print(
        f"\r{name}: {states} states, depth {depth}, {seconds:.0f} s ", end="", file=sys.stderr
    )


Live = list[tuple[str, Fault | None, bool]]


def lively(model: Model, result: Result, without: tuple[str, ...]) -> Live:
    if not model.liveness or result.states > liveness.STATES_MOST:
        return []
    graph = liveness.build(model)
    found = []
    for one in model.liveness:
        if one.name not in without:
            verdict = liveness.check(model, one, graph)
            found.append((one.name, verdict.fault, verdict.whole))
    return found


def report(model: Model, result: Result, live: Live, as_json: bool, as_test: bool) -> None:
    faults = [one for one in (result.fault, *(fault for _, fault, _ in live)) if one]
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "model": model.name,
                    "holds": not faults,
                    "states": result.states,
                    "edges": result.edges,
                    "depth": result.depth,
                    "seconds": round(result.seconds, 2),
                    "exhaustive": result.exhaustive,
                    "bounded": result.bounded,
                    "bytes_a_state": round(result.bytes_a_state, 1),
                    "collision_chance": result.chance,
                    "liveness": {
                        name: "violated" if fault else "holds" if whole else "not explored to the end"
                        for name, fault, whole in live
                    },
                    "faults": [
                        {
                            "property": one.property,
                            "sentence": one.sentence,
                            "why": one.why,
                            "way": one.places,
                            "trace": trace.moments(model, one.places),
                        }
                        for one in faults
                    ],
                }
            ).decode()
        )
        return
    how = "all of it" if result.exhaustive else f"bounded by {result.bounded}"
    click.echo(
        f"{model.name}: {'VIOLATED' if faults else 'holds'}; {result.states} states, {result.edges} "
        f"steps, "
        f"depth {result.depth}, {how}, {result.seconds:.1f} s, chance of a collision "
        f"{result.chance:.0e}"
    )
    for name, fault, whole in live:
        click.echo(f"  {name}: {'VIOLATED' if fault else 'holds' if whole else 'not explored to the end'}")
    for one in faults:
        for line in trace.as_test(model, one).splitlines() if as_test else trace.text(model, one):
            click.echo(line)


def show_way(known: dict[str, Model], names: tuple[str, ...], way: str, as_json: bool) -> int:
    if len(names) != 1:
        raise click.UsageError("--replay takes one --model.")
    model = known[names[0]]
    try:
        places = tuple(int(one) for one in way.split(",") if one)
        found = trace.moments(model, places)
    except ValueError as error:
        raise click.UsageError(f"--replay: {error}.") from None
    wrong = [
        (one, why)
        for _, state in replay(model, places)
        for one in model.properties
        if (why := one.check(state)) is not None
    ]
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "model": model.name,
                    "trace": found,
                    "violated": [{"property": one.name, "why": why} for one, why in wrong[:1]],
                }
            ).decode()
        )
    else:
        for one in found:
            click.echo(f"{one['step']:>3}. {one['what']}")
            for belief in one["beliefs"]:
                click.echo(f"       {belief}")
        for broken_one, why in wrong[:1]:
            click.echo(f"{broken_one.name} does not hold: {why}")
    return int(bool(wrong))


def sentences(model: Model) -> dict[str, str]:
    return {
        **{one.name: one.sentence for one in model.properties},
        **{one.name: one.sentence for one in model.liveness},
    }


def show_list(known: dict[str, Model], as_json: bool) -> None:
    if as_json:
        click.echo(
            orjson.dumps(
                {
                    "models": [
                        {"name": one.name, "sentence": one.sentence, "properties": sentences(one)}
                        for one in known.values()
                    ],
                    "mutants": [
                        {
                            "name": one.name,
                            "model": one.model,
                            "property": one.property,
                            "sentence": one.sentence,
                        }
                        for one in by_name().values()
                    ],
                }
            ).decode()
        )
        return
    for model in known.values():
        click.echo(f"{model.name}: {model.sentence}")
        for name, sentence in sentences(model).items():
            click.echo(f"    {name}: {sentence}")
    click.echo("\nmutants:")
    for mutant in by_name().values():
        click.echo(
            f"    {mutant.name} ({mutant.model}): {mutant.sentence}"
            + ("" if mutant.property else "; must not be reported")
        )
