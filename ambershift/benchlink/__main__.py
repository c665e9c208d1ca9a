"""`python -m ambershift.benchlink`: the decision module on the test bench's protocol, on stdin and stdout."""

from __future__ import annotations

import sys

from ambershift.benchlink import host, wire


def main() -> int:
    """Serve until the input ends; returns the exit status."""
    try:
        host.serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
