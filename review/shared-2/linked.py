"""A fleet whose links between the project's own processes go through proxies, so that machines can be partitioned.

Entries listen for links at 127.1.5.x; the rows that they write to the store name 127.1.6.x, where the proxies listen."""

import asyncio
import base64
import re

import fleet as fleets

LISTENS, NAMED = b"127.1.5.", b"127.1.6."
FIRST_OF_UINT64 = 0xCF


class LinkedFleet(fleets.Fleet):
    def __init__(self, **options):
        super().__init__(**options)
        # Each machine is on one of two sides while there is a partition; the store is on the first one.
        self.second_side = set()
        self.incarnations = {}
        self.links = []
        for index, entry in enumerate(self.entries):
            entry.link_address = f"{LISTENS.decode()}{index + 1}"
            entry.fields = self.fields_of(entry, entry.fields)
        self.store.transact = self.naming_proxies(self.store.transact)

    @staticmethod
    def fields_of(entry, fields):
        return lambda: fields() | {"ip": entry.link_address}

    @staticmethod
    def naming_proxies(transact):
        async def changed(order):
            for row in order.get("writes", []):
                if row["table"] != "op":
                    row["value"] = base64.b64encode(base64.b64decode(row["value"]).replace(LISTENS, NAMED)).decode()
            return await transact(order)

        return changed

    async def begin(self):
        for index, entry in enumerate(self.entries):
            server = fleets.HttpServer(None)
            server.server = await asyncio.start_server(
                lambda reader, writer, entry=entry: self.pass_on(reader, writer, entry),
                f"{NAMED.decode()}{index + 1}", self.ports["internal-0"])
            self.store_servers.append(server)
        await super().begin()

    async def status(self, machine):
        address = getattr(machine, "link_address", machine.address)
        code, body = await fleets.http_call(address, self.ports["internal-1"], "GET", "/v1/status", timeout=1.0)
        return fleets.json.loads(body) if code == 200 else None

    def partition(self, machines):
        """Separates these machines from all others and from the store. Bytes under way are held back."""
        self.note("partition", event="begins", second_side=[machine.name for machine in machines])
        self.second_side = {machine.name for machine in machines}
        for machine in machines:
            self.store.trouble[machine.name] = "silent"

    def heal(self):
        self.note("partition", event="ends")
        self.second_side = set()
        self.store.trouble.clear()

    async def name_of(self, hello):
        """The machine whose incarnation this first frame names. Its log may not tell it yet."""
        at = hello.index(FIRST_OF_UINT64)
        number = int.from_bytes(hello[at + 1:at + 9], "big")
        while number not in self.incarnations:
            for machine in self.entries + self.agents:
                for found in re.findall(r"event=started incarnation=(\d+)", machine.log()):
                    self.incarnations[int(found)] = machine.name
            await asyncio.sleep(0.02)
        return self.incarnations[number]

    def is_cut(self, link):
        if not self.second_side:
            return False
        return link["dialer"] is None or (link["dialer"] in self.second_side) != (link["entry"] in self.second_side)

    async def pass_on(self, reader, writer, entry):
        try:
            there = await asyncio.open_connection(entry.link_address, self.ports["internal-0"])
        except OSError:
            fleets.abort(writer)
            return
        link = {"dialer": None, "entry": entry.name}

        async def pump(source, target, identifies):
            try:
                while data := await source.read(65536):
                    if identifies and link["dialer"] is None:
                        link["dialer"] = await self.name_of(data)
                    while self.is_cut(link):
                        await asyncio.sleep(0.01)
                    target.write(data)
                    await target.drain()
                while self.is_cut(link):
                    await asyncio.sleep(0.01)
            except OSError:
                pass
            finally:
                target.close()

        await asyncio.gather(pump(reader, there[1], True), pump(there[0], writer, False))
