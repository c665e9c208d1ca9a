"""The sub-commands and their arguments. What a sub-command needs is loaded once it runs."""

from __future__ import annotations

import sys
from importlib import import_module
from typing import Any

import click

DONE, FAILED, BAD_INPUT = 0, 1, 2
# Name, module and what it is for: help is shown without loading any of them.
LAZY = {
    "run": (
        "ambershift.coordinator.cli.run",
        "Run a coordinator, with the fronts that a settings file turns on.",
    ),
    "ctl": (
        "ambershift.coordinator.cli.ctl",
        "Send commands to the runtime API of one or more coordinators.",
    ),
    "check-settings": (
        "ambershift.coordinator.cli.check_settings",
        "Check a settings file without running anything.",
    ),
    "check-model": (
        "ambershift.coordinator.cli.check_model",
        "Explore the state machines that run, in the small.",
    ),
    "version": ("ambershift.coordinator.cli.version", "Show the version."),
}


class LazyGroup(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(LAZY)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in LAZY:
            return None
        command: click.Command = import_module(LAZY[name][0]).command
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, text) for name, (_, text) in LAZY.items()])


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A table manager that assigns servers to proxies, zone by zone.

    Without a sub-command this runs a coordinator as the platform does.

    Example: ambershift ctl -s /run/ambershift.sock show info
    """


def main(arguments: list[str] | None = None) -> int:
    """Errors are one line on standard error: 1 where what was asked failed, 2 for usage and bad input."""
    try:
        result: Any = cli.main(arguments, prog_name="ambershift", standalone_mode=False)
    except click.UsageError as error:
        print(f"ambershift: {error.format_message()} See 'ambershift --help'.", file=sys.stderr)
        return BAD_INPUT
    except click.ClickException as error:
        print(f"ambershift: {error.format_message()}", file=sys.stderr)
        return error.exit_code
    except (click.Abort, KeyboardInterrupt):
        return FAILED
    except BrokenPipeError:  # Whoever read our output has seen enough.
        sys.stderr.close()
        return FAILED
    return result if isinstance(result, int) else DONE
