"""Links between machines: one message after the other over websockets, dialled again when they break."""
