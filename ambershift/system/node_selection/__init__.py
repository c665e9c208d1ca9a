"""Which control node a proxy is linked to: the nearest one whose configuration is fresh, else another."""
