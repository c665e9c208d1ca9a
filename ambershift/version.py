"""The program's version, told once."""

VERSION = "0.2.0"
