"""The way of a message: take in, admit, route, send, relay, book; each stage is a unit of its own."""
