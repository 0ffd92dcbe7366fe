"""Run a bare relay that copies bytes between each client connection and a connection to one server.

The relay is the lower bound for the cost of a request through the sidecar: the same language, the same poll
and the same four system calls per request, without parsing and decisions.

    python -m benchmarks.relay LISTEN_PORT SERVER_PORT
"""

from __future__ import annotations

import select
import socket
import sys


def main(listen_port: int, server_port: int) -> None:
    """Relay until killed; prints the port of the listener once it listens."""
    listener = socket.create_server(("127.0.0.1", listen_port), backlog=128)
    listener.setblocking(False)
    print(listener.getsockname()[1], flush=True)
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    other: dict[int, socket.socket] = {}
    socks: dict[int, socket.socket] = {}
    while True:
        for fd, _ in poll.poll():
            if fd == listener.fileno():
                client, _ = listener.accept()
                server = socket.create_connection(("127.0.0.1", server_port))
                for sock, peer in ((client, server), (server, client)):
                    sock.setblocking(False)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    socks[sock.fileno()], other[sock.fileno()] = sock, peer
                    poll.register(sock, select.POLLIN)
                continue
            if fd not in socks:
                continue
            try:
                data = socks[fd].recv(65536)
            except BlockingIOError:
                continue
            except OSError:
                data = b""
            if data:
                other[fd].sendall(data)
                continue
            for sock in (socks[fd], other[fd]):
                number = sock.fileno()
                poll.unregister(number)
                del socks[number], other[number]
                sock.close()


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
