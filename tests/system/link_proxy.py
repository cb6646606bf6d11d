"""Loopback proxies between the real programs, which silence, delay, reset and cut their connections."""

import asyncio
import base64
import http.client
import http.server
import json
import random
import socket
import struct
import threading

# Also lets this module import cluster.py.
import cluster_case  # noqa: F401
import cluster as clusters

# Entries listen for links at the first address; the view names the second one, where the proxies listen.
ENTRY_ADDRESS = "127.0.0.3"
PROXY_ADDRESS = "127.0.0.2"
READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ProxiedConnection:
    """A dialer's connection through a proxy. Bytes of a silent direction are read, and dropped."""

    def __init__(self, dialer, entry):
        # The streams by the direction in which their bytes go.
        self.readers = {"to_entry": dialer[0], "to_dialer": entry[0]}
        self.writers = {"to_entry": entry[1], "to_dialer": dialer[1]}
        self.silent = set()
        self.delay_seconds = 0.0

    async def pump(self, direction):
        while data := await self.readers[direction].read(READ_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            if direction in self.silent:
                continue
            self.writers[direction].write(data)
            await self.writers[direction].drain()

    def reset(self):
        for writer in self.writers.values():
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    def close(self):
        for writer in self.writers.values():
            writer.close()


class LinkProxy:
    """Passes on the links to one entry. New connections are sound, whatever became of those that are open."""

    def __init__(self, port):
        self.port = port
        self.connections = set()
        self.is_cut = False
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self._call(self._listen())

    def silence(self, share, chance, directions=("to_entry", "to_dialer")):
        """Silences a share of the open connections for good, without a reset; returns how many."""
        return self._apply(share, chance, lambda connection: connection.silent.update(directions))

    def delay(self, share, chance, seconds):
        return self._apply(share, chance, lambda connection: setattr(connection, "delay_seconds", seconds))

    def reset(self, share, chance):
        return self._apply(share, chance, ProxiedConnection.reset)

    def cut(self, is_cut):
        """While it is cut, all connections are reset at once, also new ones."""
        self.is_cut = is_cut
        if is_cut:
            self.reset(1.0, random.Random(0))

    def stop(self):
        async def close():
            self.server.close()
            for connection in list(self.connections):
                connection.reset()

        self._call(close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout=10)

    def _apply(self, share, chance, change):
        async def apply():
            chosen = [connection for connection in self.connections if chance.random() < share]
            for connection in chosen:
                change(connection)
            return len(chosen)

        return self._call(apply())

    async def _listen(self):
        self.server = await asyncio.start_server(self._serve, PROXY_ADDRESS, self.port)

    async def _serve(self, *dialer):
        try:
            entry = await asyncio.open_connection(ENTRY_ADDRESS, self.port)
        except OSError:
            # The entry has ended or doesn't listen yet; the dialer tries again.
            dialer[1].transport.abort()
            return
        connection = ProxiedConnection(dialer, entry)
        if self.is_cut:
            connection.reset()
            return
        self.connections.add(connection)
        pumps = [asyncio.ensure_future(connection.pump(direction)) for direction in connection.readers]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            # The end of a pump is the end of a connection, by a close or a reset of either side.
            await asyncio.gather(*pumps, return_exceptions=True)
            self.connections.discard(connection)
            connection.close()


class TableProxy:
    """Passes on the calls of entries to the table. Replaces in the rows that they write the address at which they
    listen for links by that of the proxies."""

    def __init__(self, port, table_port):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def pass_on(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.path == "/-/rows-tx":
                    body = TableProxy.with_proxy_address(body)
                table = http.client.HTTPConnection(clusters.LOOPBACK, table_port)
                try:
                    table.request(self.command, self.path, body, {"Content-Type": self.headers.get("Content-Type", "")})
                    answer = table.getresponse()
                    content = answer.read()
                except (OSError, http.client.HTTPException):
                    # The table has ended, so the call ends as it would without the proxy.
                    self.close_connection = True
                    return
                finally:
                    table.close()
                self.send_response(answer.status)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_POST = do_PUT = pass_on

            def log_message(self, *unused):
                pass

        self.server = http.server.ThreadingHTTPServer((clusters.LOOPBACK, port), Handler)
        self.server.daemon_threads = True
        self.thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    @staticmethod
    def with_proxy_address(body):
        changes = json.loads(body)
        for row in changes["writes"]:
            text = base64.b64decode(row["value"]).replace(ENTRY_ADDRESS.encode(), PROXY_ADDRESS.encode())
            row["value"] = base64.b64encode(text).decode()
        return json.dumps(changes).encode()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class ProxiedCluster(clusters.Cluster):
    """A cluster in which all links go through proxies."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.proxies = []
        self.table_proxy = None

    def entry_table_port(self):
        return self.unused_port() - 1

    def peer_address(self):
        return ENTRY_ADDRESS

    def start_table(self):
        super().start_table()
        self.table_proxy = TableProxy(self.entry_table_port(), self.table_port())
        self.proxies = [LinkProxy(self.peer_port(entry)) for entry in range(self.entry_count)]

    def __exit__(self, *unused):
        super().__exit__(*unused)
        for proxy in self.proxies:
            proxy.stop()
        if self.table_proxy:
            self.table_proxy.stop()

    def silence_links(self, share, chance, directions=("to_entry", "to_dialer")):
        return sum(proxy.silence(share, chance, directions) for proxy in self.proxies)
