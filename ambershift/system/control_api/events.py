"""Numbers of the log's events that enquiries write; `archive/events.py` has the catalogue."""

from __future__ import annotations

FAILED = 6
CONFIGURATION_TAKEN = 601
CONFIGURATION_INVALID = 602
CONFIGURATION_UNCLEAR = 603
EVACUATION_TAKEN = 604
EVACUATION_UNCLEAR = 605
CALL_UNCLEAR = 610
CALL_REFUSED = 611
OWNER_SILENT = 612
WOKEN = 613
CHANGE_FAILED = 614
