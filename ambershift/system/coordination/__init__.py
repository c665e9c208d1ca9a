"""Locks, numbers and cells: what each call makes of its register's value.

All modules are pure: they have no I/O and no clock. `consensus/` agrees on the registers, `control_api/`
answers the HTTP calls. Locks, numbers and cells are the protocol's names for leases with fencing tokens,
rising counters, and key-value groups with revisions and compare-and-set.
"""
