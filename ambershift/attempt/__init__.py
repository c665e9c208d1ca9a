"""The attempts of a flow at a proxy: when it may be sent again, and when it must not be."""
