"""The settings file that the platform writes for each process."""
