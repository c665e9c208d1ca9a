"""Which backends and desks there are: beats, sign-offs, silence, and what archivists tell of them."""
