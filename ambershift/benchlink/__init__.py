"""The test bench's protocol: a codec, and a host for instances of the decision module."""
