"""The runtime API: a socket in the manner of HAProxy's, on the same core and under the same rules."""
