"""The command line: sub-commands, each loaded only when it is asked for."""
