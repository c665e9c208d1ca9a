"""Our own settings, in HCL: read, checked and typed in one place. What the platform tells stays JSON."""
