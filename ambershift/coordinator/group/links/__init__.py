"""Links: one connection each way between each two members, with a hello that is judged before any message."""
