"""Maintenance: schedules drains in windows so that the agreements of all tenants hold. No I/O."""
