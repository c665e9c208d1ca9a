"""All decisions: which servers each zone's proxies share, and what is done when things fail."""

from ambershift.policy.manager import TableManager as TableManager
