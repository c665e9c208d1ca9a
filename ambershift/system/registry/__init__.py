"""Which backends and proxies there are: beats, sign-offs, silence, and what control nodes tell of them."""
