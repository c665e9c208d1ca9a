"""Connections over sockets: their ends, timeouts, line framing and buffers."""
