"""Maintenance: drains laid into windows so that every tenant's agreement holds. No I/O."""
