"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's scripts."""

import asyncio
import json


class Answer:
    """What a handler returns; `None` instead of an Answer means that the request gets no answer."""

    def __init__(self, status, body=None, raw=None):
        self.status = status
        self.raw = raw if raw is not None else json.dumps({} if body is None else body).encode()


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    first = await reader.readline()
    if not first.strip():
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line.strip():
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first.decode("latin-1").split(), headers, body


class Server:
    """Serves one address. `handler(method, target, headers, body)` returns an Answer or None."""

    def __init__(self, address, port, handler):
        self.address, self.port, self.handler = address, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, self.port, reuse_address=True)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                (method, target, *_), headers, body = message
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    # The connection stays open and delivers nothing further.
                    await reader.read()
                    break
                head = f"HTTP/1.1 {answer.status} X\r\nContent-Type: application/json\r\nContent-Length: {len(answer.raw)}\r\n\r\n"
                writer.write(head.encode() + answer.raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Closes the listener and every connection, as the end of a process does."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None


async def call(address, port, method, target, body=None, headers=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, parsed body), or (0, reason) without an answer."""
    data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    lines = {"Host": f"{address}:{port}", "Content-Type": "application/json", "Content-Length": str(len(data)), **(headers or {})}
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(address, port)
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items()) + "\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return 0, "connection closed"
        (_, status, *_), _, content = message
        try:
            return int(status), json.loads(content)
        except ValueError:
            return int(status), content.decode("latin-1")

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, f"connection broken: {error.__class__.__name__}"
    finally:
        if writer is not None:
            writer.close()
