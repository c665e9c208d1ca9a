"""Messages between the programs of the system: typed, in one place, and how they are coded."""
