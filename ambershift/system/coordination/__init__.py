"""Locks, numbers and cells: what each call makes of a register's value. Pure; agreement is `consensus/`'s."""
