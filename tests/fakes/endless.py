"""An upstream that sends endless data instead of a usable response.

``python -m fakes.endless KIND`` prints its port, then serves until it is
killed or its standard input is closed.
"""

import socket
import sys
import threading

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n\r\n"
_PIECE = 1 << 16
# The data that is sent first, and the data that is repeated.
KINDS = {
    "chunked body": (_CHUNKED, b"10000\r\n" + bytes(_PIECE) + b"\r\n"),
    "body without length": (_OK + b"\r\n", bytes(_PIECE)),
    "body with a length": (
        _OK + b"content-length: 1000000000000\r\n\r\n",
        bytes(_PIECE),
    ),
    "many headers": (_OK, b"x-a: b\r\n" * 4096),
    "one header line": (_OK + b"x-a: ", b"a" * _PIECE),
    "status line": (b"HTTP/1.1 200 ", b"a" * _PIECE),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "trailers": (_CHUNKED + b"0\r\n", b"x-a: b\r\n" * 4096),
    "one trailer line": (_CHUNKED + b"0\r\nx-a: ", b"a" * _PIECE),
    "chunk extension": (_CHUNKED + b"1;a=", b"a" * _PIECE),
    "chunks of one byte": (_CHUNKED, b"1\r\na\r\n" * 8192),
    "chunks of two bytes": (_CHUNKED, b"2\r\nab\r\n" * 8192),
    "chunks of 16 bytes": (_CHUNKED, (b"10\r\n" + b"a" * 16 + b"\r\n") * 4096),
    "empty lines": (b"", b"\r\n" * 4096),
}


def _send(connection: socket.socket, kind: str) -> None:
    first, again = KINDS[kind]
    try:
        connection.recv(1 << 16)
        connection.sendall(first)
        while True:
            connection.sendall(again)
    except OSError:
        connection.close()


def main(kind: str) -> None:
    """Serve one kind of response."""
    listening = socket.create_server(("127.0.0.1", 0), backlog=256)
    print(listening.getsockname()[1], flush=True)

    def accept() -> None:
        while True:
            connection, _ = listening.accept()
            threading.Thread(
                target=_send, args=(connection, kind), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()
    sys.stdin.read()


if __name__ == "__main__":
    main(sys.argv[1])
