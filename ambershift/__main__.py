"""`python -m ambershift`: one real coordinator."""

from __future__ import annotations

import sys

from ambershift.coordinator.program.assembly import main

if __name__ == "__main__":
    sys.exit(main())
