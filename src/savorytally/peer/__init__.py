"""The protocol between nodes: messages, their codec and the streams.

A stream is one connection between two nodes. Its opener sends calls on it
and receives their results; both ends send control messages. A link is the
outgoing stream to one peer, reopened when it is lost; a session is an
incoming stream.
"""
