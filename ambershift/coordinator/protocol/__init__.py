"""What the bytes mean: pure codecs, with no input or output of their own."""
