"""`python -m ambershift`: a coordinator as the platform runs it; with arguments, the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the coordinator, or the command line if there are arguments; return the exit code."""
    if len(sys.argv) == 1:
        # Nothing of the tools is loaded here: on the platform memory is scarce and starts are frequent.
        from ambershift.coordinator.program.assembly import main as coordinator

        return coordinator()
    try:
        from ambershift.coordinator.cli.commands import main as tools
    except ModuleNotFoundError as error:
        print(
            f"ambershift: the command line needs {error.name}: pip install 'ambershift[tools]'",
            file=sys.stderr,
        )
        return 2
    return tools()


if __name__ == "__main__":
    sys.exit(main())
