"""Stand-in of the platform's store: rows, feeds and objects, as PROTOCOL.md tells them.

The operator writes with operator_write(). Nothing is lost, and each call is answered at once.
"""

import base64
import json
import threading
import time
import urllib.parse

from server import Server

FEED_ROWS = 500


class Store:
    def __init__(self, port, record):
        self.port = port
        self.record = record
        self.changed = threading.Condition()
        self.version = 1
        # (table, part, key) -> (value in base64, version)
        self.rows = {}
        # (version, table, part, key), oldest first.
        self.history = []
        self.objects = {}
        self.server = Server(port, self.handle)

    def start(self):
        self.server.start()

    def stop(self):
        self.server.stop()

    def operator_write(self, table, key, text):
        with self.changed:
            self._put((table, "", key), base64.b64encode(text.encode()).decode())

    def _put(self, name, value):
        self._next_version()
        self.rows[name] = (value, self.version)
        self.history.append((self.version, *name))
        self.changed.notify_all()

    def _next_version(self):
        self.version += 1

    def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        arguments = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/-/rows-tx":
            return self._transaction(json.loads(body))
        if path == "/-/rows-get":
            return self._get(arguments)
        if path == "/-/rows-feed":
            return self._feed(arguments)
        if path == "/-/rows-parts":
            with self.changed:
                parts = sorted({part for table, part, _ in self.rows if table == arguments["table"]})
            return 200, {"parts": parts}
        if path.startswith("/-/blob-put/"):
            return self._put_object(urllib.parse.unquote(path[len("/-/blob-put/"):]), headers, body)
        if path.startswith("/-/blob-get/"):
            found = self.objects.get(urllib.parse.unquote(path[len("/-/blob-get/"):]))
            return (404, {}) if found is None else (200, found)
        if path.startswith("/-/blob-drop/"):
            self.objects.pop(urllib.parse.unquote(path[len("/-/blob-drop/"):]), None)
            return 200, {}
        if path == "/-/blob-list":
            names = sorted(n for n in self.objects
                           if n.startswith(arguments.get("path_prefix", "")) and n > arguments.get("after", ""))
            return 200, {"names": names[:1000], "has_more": len(names) > 1000}
        return 404, {}

    def _put_object(self, name, headers, body):
        if headers.get("if-none-match") == "*" and name in self.objects:
            return 412, {}
        self.objects[name] = body
        return 200, {}

    def _row(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "schema_version": version}

    def _answer(self, fields):
        return {**fields, "schema_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _transaction(self, wire):
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        with self.changed:
            expected = wire.get("expected_rev", [])
            for row in expected:
                present = self.rows.get(name(row))
                if (present[1] if present else 0) != row["schema_version"]:
                    current = [self._row(name(r)) for r in expected if name(r) in self.rows]
                    return 412, self._answer({"rows": current})
            changed = wire.get("writes", []) + wire.get("remove", [])
            if any(row["table"] in ("op", "servers") for row in changed):
                return 403, {}
            self._next_version()
            for row in wire.get("writes", []):
                self.rows[name(row)] = (row["value"], self.version)
                self.history.append((self.version, *name(row)))
            for row in wire.get("remove", []):
                if self.rows.pop(name(row), None) is not None:
                    self.history.append((self.version, *name(row)))
            self.changed.notify_all()
            return 200, self._answer({})

    def _get(self, arguments):
        with self.changed:
            names = sorted(
                (n for n in self.rows
                 if n[0] == arguments["table"] and n[1] == arguments.get("part", "")
                 and n[2] >= arguments.get("from", "") and ("to" not in arguments or n[2] < arguments["to"])),
                key=lambda n: n[2].encode())
            limit = min(int(arguments.get("limit", FEED_ROWS)), FEED_ROWS)
            return 200, self._answer(
                {"rows": [self._row(n) for n in names[:limit]], "has_more": len(names) > limit})

    def _feed(self, arguments):
        after = int(arguments["after"])
        end = time.monotonic() + min(int(arguments.get("wait_ms", 0)), 30000) / 1000
        with self.changed:
            while True:
                names = []
                for version, *name in self.history:
                    if version > after and name[0] == arguments["table"]:
                        if tuple(name) in names:
                            names.remove(tuple(name))
                        names.append(tuple(name))
                left = end - time.monotonic()
                if names or left <= 0:
                    break
                self.changed.wait(left)
            rows = [self._row(n) if n in self.rows else
                    {"table": n[0], "part": n[1], "key": n[2], "deleted": True, "schema_version": self.version}
                    for n in names]
            return 200, self._answer({"rows": rows, "has_more": False})
