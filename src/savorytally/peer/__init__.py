"""The protocol between nodes: messages, their codec and the streams."""
