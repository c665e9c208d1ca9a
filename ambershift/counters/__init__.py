"""The old name of `ambershift.coordinator.counters`, for units that run `python -m ambershift.counters`."""
