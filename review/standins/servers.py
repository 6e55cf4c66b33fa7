"""Stand-ins of servers, model servers and stores of KV cache."""

import asyncio
import itertools
import json
import time
import urllib.parse

import http_server

PREFIX = "x-sycamorespoke-"
HEARTBEAT_S = 1.2
QUEUE = 96
PREFILL_TOKENS_PER_S = 85_200.0
TOKEN_MBITS = 0.32768 * 8
EVENTS_LAG_S = 0.06
WAITING_CALLS = 12
DEAD_SOURCE_S = 0.3
MISS_S = 0.001
_stamps = itertools.count(1)


def clock_ms():
    """Return the time of the servers' clock, Unix milliseconds."""
    return time.time() * 1000


class Server:
    """A server of a plain service, which registers itself in the platform's store.

    Parameters
    ----------
    name, service, zone : str
        Its ID, the name of its service, and its zone.
    platform : Platform
        The platform's store.
    record : Record
        Gets the requests that it runs.
    """

    slots = 6
    models = None

    def __init__(self, name, service, zone, platform, record):
        self.name = name
        self.service = service
        self.zone = zone
        self.platform = platform
        self.record = record
        self.http = http_server.Server(self.handle)
        self.state = "ready"
        self.runs = []
        self.born = int(clock_ms())
        self._seq = itertools.count(1)
        self._heartbeat = None

    async def start(self):
        """Listen and register."""
        await self.http.start()
        await self.register()
        self._heartbeat = asyncio.create_task(self._beat())

    async def register(self):
        """Write its entry in the platform's store."""
        entry = {
            "Service": self.service,
            "Address": self.http.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "colocated",
            "Seq": next(self._seq),
            "born": self.born,
        }
        if self.models:
            entry["Models"] = [
                {"Name": name, "Version": version, "Adapters": []}
                for name, version in self.models.items()
            ]
        await self.platform.put("servers", self.name, entry)

    async def stop(self):
        """End: reset all channels and send no more heartbeats."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        await self.http.stop()

    async def handle(self, request, channel):
        """Answer one request."""
        if request.target == "/healthz":
            headers = [(PREFIX + "Instance-Id", self.name)]
            await channel.respond(200, headers)
            return
        if await self.refuses(request, channel):
            return
        self.note_run(request)
        await asyncio.sleep(0.03)
        await channel.respond(200, self.make_headers(request), b"done " * 160)

    async def refuses(self, request, channel):
        """Refuse a request that is meant for another server."""
        expected = request.headers.get(PREFIX + "expect-instance", self.name)
        if expected == self.name:
            return False
        headers = [(PREFIX + "Not-Run", "1"), (PREFIX + "Instance-Id", self.name)]
        await channel.respond(421, self._echo(request) + headers)
        return True

    def note_run(self, request):
        """Record that a request runs."""
        request_id = request.headers.get(PREFIX + "request-id", "")
        self.runs.append(request_id)
        self.record.note(f"{self.name} runs {request_id}: {request.target}")

    def make_headers(self, request):
        """Return the headers of a response, with the receipt."""
        stamp = f"{next(_stamps):x}.{self.name}"
        return [*self._echo(request), (PREFIX + "Response-Stamp", stamp)]

    def _echo(self, request):
        return [(PREFIX + "Request-Id", request.headers.get(PREFIX + "request-id", ""))]

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()


class Part:
    """A part of a prompt that a server or a store keeps.

    Parameters
    ----------
    tokens : int
        Its length.
    tenant, version : str, int
        Tenant of the request that made it, and version of the weights.
    is_whole : bool
        Whether it is all there.
    """

    def __init__(self, tokens, tenant, version, is_whole=True):
        self.tokens = tokens
        self.tenant = tenant
        self.version = version
        self.is_whole = is_whole


class KvStore:
    """A managed store of KV cache.

    Parameters
    ----------
    name, zone : str
        For the record, and where it is.
    capacity : int
        Tokens that it has room for; it drops nothing by itself.
    link_mbps : float
        Bandwidth in each direction; transfers in one direction run one after another,
        and take twice as long between zones.
    first_ms : float
        Each transfer waits so long in addition.
    model : str
        Named in the events.
    record : Record
        Gets what happens.
    """

    def __init__(self, name, zone, capacity, link_mbps, first_ms, model, record):
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.link_mbps = link_mbps
        self.first_ms = first_ms
        self.model = model
        self.record = record
        self.http = http_server.Server(self._handle)
        self.epoch = int(clock_ms()) % 1_000_000
        self.is_up = False
        self.parts = {}
        self._events = []
        # Whoever waits for a link of before finds another epoch.
        self._links = {}
        self._changed = asyncio.Condition()
        self._waiting = 0

    async def start(self):
        """Listen; a restart has a new epoch and nothing in store."""
        self.epoch += 1
        self.parts = {}
        self._events = []
        # Whoever waits for a link of before finds another epoch.
        self._links = {"in": asyncio.Lock(), "out": asyncio.Lock()}
        await self.http.start()
        self.is_up = True
        self.record.note(f"{self.name}: up, empty, epoch {self.epoch}")

    async def stop(self):
        """Crash."""
        self.is_up = False
        self.record.note(f"{self.name}: down")
        await self.http.stop()

    async def save(self, salt, part_id, part, zone):
        """Save a part: its space is reserved at once, the link then takes its time."""
        used = sum(each.tokens for each in self.parts.values())
        if not self.is_up or (salt, part_id) in self.parts:
            return
        if used + part.tokens > self.capacity:
            return
        epoch = self.epoch
        kept = Part(part.tokens, part.tenant, part.version, is_whole=False)
        self.parts[salt, part_id] = kept
        self.record.note(f"{self.name}: {part_id} is being written")
        async with self._links["in"]:
            await asyncio.sleep(self._compute_s(part.tokens, zone))
        if self.epoch != epoch or not self.is_up:
            return
        kept.is_whole = True
        self.record.note(f"{self.name}: {part_id} is whole")
        await asyncio.sleep(EVENTS_LAG_S)
        async with self._changed:
            number = len(self._events) + 1
            event = [number, "+", salt, part_id, part.tokens, self.model]
            self._events.append(event)
            self._changed.notify_all()

    async def fetch(self, salt, part_id, zone):
        """Return the part as a fetch finds it; ``None`` if it is not present."""
        epoch = self.epoch
        link = self._links["out"]
        if self.is_up:
            await link.acquire()
        if not self.is_up or self.epoch != epoch:
            await asyncio.sleep(DEAD_SOURCE_S)
            return None
        try:
            part = self.parts.get((salt, part_id))
            if part is None:
                await asyncio.sleep(MISS_S)
                return None
            found = Part(part.tokens, part.tenant, part.version, part.is_whole)
            await asyncio.sleep(self._compute_s(part.tokens, zone))
            return found if self.epoch == epoch else None
        finally:
            link.release()

    def _compute_s(self, tokens, zone):
        factor = 1 if zone == self.zone else 2
        return tokens * TOKEN_MBITS / self.link_mbps * factor + self.first_ms / 1000

    async def _handle(self, request, channel):
        url = urllib.parse.urlsplit(request.target)
        json_type = [("Content-Type", "application/json")]
        if url.path == "/sycamorespoke/kv-free":
            value = json.loads(request.body)
            is_refused = value.get("Epoch", self.epoch) != self.epoch
            if is_refused or value.get("until_ms", clock_ms()) < clock_ms():
                await channel.respond(409, json_type, b"{}")
                return
            for salt, part_id in value["parts"]:
                self.parts.pop((salt, part_id), None)
                self.record.note(f"{self.name}: {part_id} [{salt}] is freed")
            await channel.respond(200, json_type, b"{}")
            return
        if url.path != "/sycamorespoke/kv-events":
            await channel.respond(404)
            return
        if self._waiting >= WAITING_CALLS:
            await channel.respond(429)
            return
        since = int(dict(urllib.parse.parse_qsl(url.query)).get("Since", 0))
        wait_s = int(request.headers.get("wait-ms", 0)) / 1000
        self._waiting += 1
        try:
            async with self._changed:
                try:
                    async with asyncio.timeout(wait_s):
                        await self._changed.wait_for(lambda: self._list_events(since))
                except TimeoutError:
                    pass
        finally:
            self._waiting -= 1
        value = {
            "Epoch": self.epoch,
            "Next": len(self._events),
            "Lost": since > len(self._events),
            "Events": self._list_events(since),
            "clock_ms": clock_ms(),
        }
        await channel.respond(200, json_type, json.dumps(value).encode())

    def _list_events(self, since):
        return [event for event in self._events if event[0] > since]


class Engine(Server):
    """A model server, which keeps the parts of the prompts that it has read.

    Parameters
    ----------
    model : str
        Its only model.
    stores : list of KvStore
        The stores that requests may name.
    version : int
        Version of its weights.
    token_s : float
        Time for one token of each of its runs.
    """

    slots = 32
    capacity = 86791

    def __init__(
        self,
        name,
        service,
        zone,
        platform,
        record,
        model,
        stores=(),
        version=1,
        token_s=0.003,
    ):
        super().__init__(name, service, zone, platform, record)
        self.model = model
        self.stores_by_address = {store.http.address: store for store in stores}
        self.models = {model: version}
        self.token_s = token_s
        # What it keeps, the least recently used first.
        self.parts = {}
        # What each run has used of parts: (request, part, Part, where from).
        self.used = []
        self._free = None
        self._reading = None
        self._waiting = 0
        self._saves = set()

    async def start(self):
        """Listen and register."""
        self._free = asyncio.Semaphore(self.slots)
        self._reading = asyncio.Lock()
        await super().start()

    async def handle(self, request, channel):
        """Answer one request."""
        if request.target == "/sycamorespoke/report":
            await self._report(channel)
            return
        if request.target.startswith("/sycamorespoke/"):
            await channel.respond(404)
            return
        if await self.refuses(request, channel):
            return
        wanted = request.headers.get(PREFIX + "expect-version")
        if wanted is not None and int(wanted) != self.models[self.model]:
            version = str(self.models[self.model])
            headers = [(PREFIX + "Not-Run", "1"), (PREFIX + "Weight-Versions", version)]
            await channel.respond(421, self._echo(request) + headers)
            return
        if self._waiting >= QUEUE:
            headers = [(PREFIX + "Not-Run", "1")]
            await channel.respond(503, self._echo(request) + headers)
            return
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            await self._run(request, channel)

    async def _run(self, request, channel):
        headers = request.headers
        request_id = headers.get(PREFIX + "request-id", "")
        tenant = headers.get(PREFIX + "tenant-id", "")
        salt = headers.get(PREFIX + "cache-salt", "")
        self.note_run(request)
        _, count = headers[PREFIX + "token-count"].split(",")
        entries = headers[PREFIX + "prompt-prefix"].split(",")
        prompt = [(each.split(":")[0], int(each.split(":")[1])) for each in entries]
        version = self.models[self.model]
        await self._fetch(request, request_id, salt, prompt)
        tokens_to_read = 0
        made = {}
        for part_id, tokens in prompt:
            part = self.parts.pop((salt, part_id), None)
            if part is not None and not tokens_to_read:
                self.used.append((request_id, part_id, part, self.name))
                if part.tenant != tenant:
                    self.record.note(
                        f"{self.name}: {request_id} of {tenant} uses {part_id}, "
                        f"made by {part.tenant}"
                    )
            else:
                part = Part(tokens, tenant, version)
                tokens_to_read += tokens
            made[part_id] = part
        async with self._reading:
            await asyncio.sleep(tokens_to_read / PREFILL_TOKENS_PER_S)
        for part_id, part in made.items():
            self._keep(salt, part_id, part)
        self._save(headers, salt, prompt, made)
        await channel.start_stream(
            [*self.make_headers(request), (PREFIX + "Weight-Versions", str(version))]
        )
        for number in range(1, int(count) + 1):
            await asyncio.sleep(self.token_s)
            await channel.send_chunk(f"id: {number}\ndata: t{number}\n\n".encode())
        await channel.send_chunk(b"")

    def _keep(self, salt, part_id, part):
        self.parts.pop((salt, part_id), None)
        self.parts[salt, part_id] = part
        while sum(each.tokens for each in self.parts.values()) > self.capacity:
            self.parts.pop(next(iter(self.parts)))

    async def _fetch(self, request, request_id, salt, prompt):
        addresses = request.headers.get(PREFIX + "kv-fetch", "").split(",")
        until_ms = int(request.headers.get(PREFIX + "kv-until", "0"))
        for (part_id, _), address in zip(prompt, addresses, strict=False):
            if (salt, part_id) in self.parts:
                continue
            store = self.stores_by_address.get(address)
            if store is None:
                return
            part = await store.fetch(salt, part_id, self.zone)
            outcome = "a miss"
            if part is not None:
                outcome = "whole" if part.is_whole else "NOT WHOLE"
                if until_ms and clock_ms() > until_ms:
                    outcome, part = "too late, thrown away", None
            self.record.note(
                f"{self.name}: {request_id} fetches {part_id}"
                f" of {store.name}: {outcome}"
            )
            if part is None:
                return
            self.used.append((request_id, part_id, part, store.name))
            self._keep(salt, part_id, part)

    def _save(self, headers, salt, prompt, made):
        addresses = headers.get(PREFIX + "kv-save", "").split(",")
        for (part_id, _), address in zip(prompt, addresses, strict=False):
            store = self.stores_by_address.get(address)
            if store is not None:
                save = store.save(salt, part_id, made[part_id], self.zone)
                task = asyncio.create_task(save)
                self._saves.add(task)
                task.add_done_callback(self._saves.discard)

    async def _report(self, channel):
        models = [
            {"Name": name, "Version": version, "Adapters": []}
            for name, version in self.models.items()
        ]
        value = {
            "Stage": "colocated",
            "Models": models,
            "Busy": False,
            "Seq": 0,
            "Waiting": self._waiting,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": self.capacity,
            "Handles": 0,
        }
        headers = [("Content-Type", "application/json")]
        await channel.respond(200, headers, json.dumps(value).encode())
