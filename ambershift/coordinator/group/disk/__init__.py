"""Stores a member's durable state in its folder, on a thread of its own, so that the loop never waits."""
