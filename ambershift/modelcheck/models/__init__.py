"""The worlds: each drives machines that run, with what happens around them as small as it can be."""
