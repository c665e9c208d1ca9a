"""Days of our own for the system, in which troubles meet: docs/measurements/system-days.md."""
