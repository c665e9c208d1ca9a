"""Links between machines: ordered messages over websockets, dialled again when a link breaks."""
