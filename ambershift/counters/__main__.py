"""`python -m ambershift.counters`: starts `ambershift.coordinator.counters`, whose old name this is."""

import runpy

runpy.run_module("ambershift.coordinator.counters", run_name="__main__")
