"""Writes the table of commands into docs/runtime-api.md: `python -m ambershift.coordinator.runtime.document`.

The table between the two marks is made from the catalogue, and a test fails where they differ.
"""

from __future__ import annotations

import sys
from pathlib import Path

from ambershift.coordinator.runtime.catalogue import TABLE

BEGIN, END = "<!-- commands: made from the catalogue -->\n", "<!-- end of commands -->\n"
PLACE = "docs/runtime-api.md"


def table() -> str:
    rows = ["| command | level | HAProxy's | what it does, or why not |", "| --- | --- | --- | --- |"]
    for one in TABLE:
        name = f"{one.name} {one.usage}".rstrip().replace("|", "\\|")
        rows.append(
            f"| `{name}` | {one.level.name.lower()} | {one.kind.value} | "
            f"{one.note.replace('|', chr(92) + '|')} |"
        )
    return "\n".join(rows) + "\n"


def rewrite(text: str) -> str:
    """The page with the table as it is now; without the two marks this is a ValueError."""
    start, end = text.index(BEGIN) + len(BEGIN), text.index(END)
    return text[:start] + "\n" + table() + "\n" + text[end:]


def main() -> int:
    place = Path(sys.argv[1] if len(sys.argv) > 1 else PLACE)
    try:
        place.write_text(rewrite(place.read_text()))
    except (OSError, ValueError) as error:
        print(f"{place}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
