"""Bytes over sockets: connections, their ends, time limits, lines and buffers."""
