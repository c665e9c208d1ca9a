"""Codecs of the coordinator's protocols, without input or output of their own."""
