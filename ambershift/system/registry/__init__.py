"""Which backends and proxies there are.

A control node hears of backends by their heartbeats and sign-offs, of proxies by their links, and of both by
what its peers report. `service.RegistryService` is what other packages call; the decisions are made without
I/O in `state_machine.RegistryStateMachine`.
"""
