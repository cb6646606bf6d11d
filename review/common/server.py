"""A small HTTP/1.1 server with a thread for each connection, for the stand-ins."""

import json
import socket
import threading


class Server:
    """`handle` gets (method, target, headers, body) and returns (status, dictionary or bytes), or None to give no
    answer on this connection any more."""

    def __init__(self, port, handle):
        self.port = port
        self.handle = handle
        self.listener = None
        self.connections = set()
        self.lock = threading.Lock()

    def start(self):
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=128)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def stop(self):
        """Closes the listener and all connections, as the end of a process does."""
        listener, self.listener = self.listener, None
        if listener is not None:
            # Wakes the thread that accepts.
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        with self.lock:
            open_connections = list(self.connections)
        for connection in open_connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        try:
            reader = connection.makefile("rb")
            while True:
                first = reader.readline()
                if not first.strip():
                    return
                method, target, _ = first.decode("latin-1").split(" ", 2)
                headers = {}
                while True:
                    line = reader.readline()
                    if not line.strip():
                        break
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = reader.read(int(headers.get("content-length", 0)))
                answer = self.handle(method, target, headers, body)
                if answer is None:
                    # The connection delivers nothing further until the other side closes it.
                    while reader.read1(4096):
                        pass
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(content)}\r\n\r\n")
                connection.sendall(head.encode() + content)
        except (OSError, ValueError):
            return
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()
