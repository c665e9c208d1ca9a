"""The real coordinator: transport, protocol, routing and program, each importing only downwards."""
