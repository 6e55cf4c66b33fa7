"""Stand-in for a host that stores KV-cache blocks."""

import itertools
import time

import attrs
import xxhash

from sycamorespoke.standins import _base, _wsgi

SLOTS_PATH = "/v1/slots"
BLOCKS_PATH = "/v1/blocks/"
LIST_PATH = "/v1/blocks"


@attrs.frozen
class StoreOptions:
    """Options of a block store host.

    Parameters
    ----------
    capacity_bytes : int, default=1073741824
        Capacity, in bytes.
    bytes_per_s : float, default=0.0
        Bandwidth of the host's link, which transfers one block at a time, in bytes
        per second; 0 for no limit.
    lists_nothing : bool, default=False
        Whether requests for the least recently used blocks get a 404.
    """

    capacity_bytes: int = 1 << 30
    bytes_per_s: float = 0.0
    lists_nothing: bool = False


@attrs.define
class _Slot:
    number: int
    generation: int
    key: str = ""
    length: int = 0
    checksum: str = ""
    data: bytes = b""
    used_at: int = 0
    committed: bool = False
    free: bool = True


class StoreStandin(_base.Standin):
    """Host that stores KV-cache blocks in slots.

    Parameters
    ----------
    options : StoreOptions, optional
        Options; the defaults if not given.

    Notes
    -----
    The most recently freed slot is reused first. Faults: ``full`` rejects
    allocations; ``truncate`` and ``flip_bit`` corrupt the bytes that are read;
    ``partial_commit`` commits half of a block without a check; ``skip_check``
    omits the check of length and checksum; ``slow_read_s`` delays reading the
    second half of a slot after the first; ``serve_freed`` serves freed blocks from
    their former slots; ``serve_uncommitted`` serves blocks before their commit;
    ``bytes_per_s`` replaces the bandwidth of the link.
    """

    FAULTS = {
        "full": False,
        "truncate": False,
        "flip_bit": False,
        "partial_commit": False,
        "skip_check": False,
        "slow_read_s": 0.0,
        "serve_freed": False,
        "serve_uncommitted": False,
        "bytes_per_s": 0.0,
    }

    def __init__(self, options=None):
        super().__init__()
        self.options = options or StoreOptions()
        self._slots = []
        self._free_numbers = []
        self._slots_by_key = {}
        self._freed_by_key = {}
        self._use_numbers = itertools.count()
        self._link_idle_at = 0.0
        self._used_bytes = 0
        self._read_bytes = 0
        self._written_bytes = 0

    def count(self):
        """Return the numbers of bytes read and written."""
        with self._changed:
            return {
                "read_bytes": self._read_bytes,
                "written_bytes": self._written_bytes,
            }

    def handle(self, request):
        """Handle a request."""
        if request.path == "/v1/usage":
            return self._report_usage()
        if request.path == LIST_PATH:
            return self._list_least_used(int(request.get_number("least_used", 100)))
        if request.path == SLOTS_PATH and request.method == "POST":
            return self._allocate(request.parse_json())
        if request.path.startswith(SLOTS_PATH + "/"):
            return self._handle_slot(request)
        if request.path.startswith(BLOCKS_PATH):
            key = request.path[len(BLOCKS_PATH) :]
            if request.method == "DELETE":
                return self._free(key)
            return self._read(key, request.method)
        return _wsgi.make_json_response(404, {"error": "no such path"})

    def _report_usage(self):
        with self._changed:
            value = {
                "used_bytes": self._used_bytes,
                "capacity_bytes": self.options.capacity_bytes,
                "blocks": len(self._slots_by_key),
            }
        return _wsgi.make_json_response(200, value)

    def _list_least_used(self, count):
        if self.options.lists_nothing:
            return _wsgi.make_json_response(404, {"error": "no such path"})
        with self._changed:
            slots = sorted(self._slots_by_key.values(), key=lambda slot: slot.used_at)
            keys = [slot.key for slot in slots[:count]]
        return _wsgi.make_json_response(200, {"keys": keys})

    def _allocate(self, value):
        length = int(value["length"])
        with self._changed:
            is_full = self._used_bytes + length > self.options.capacity_bytes
            if self.faults["full"] or is_full:
                return _wsgi.make_json_response(507, {"error": "full"})
            slot = self._acquire_slot()
            slot.generation += 1
            slot.key = value["key"]
            slot.length = length
            slot.checksum = value["checksum"]
            slot.committed = False
            slot.free = False
            self._used_bytes += length
            allocation = {"slot": slot.number, "generation": slot.generation}
        return _wsgi.make_json_response(201, allocation)

    def _acquire_slot(self):
        if self._free_numbers:
            return self._slots[self._free_numbers.pop()]
        slot = _Slot(len(self._slots), 0)
        self._slots.append(slot)
        return slot

    def _handle_slot(self, request):
        parts = request.path[len(SLOTS_PATH) + 1 :].split("/")
        generation = int(request.get_number("generation"))
        if request.method == "PUT":
            self._simulate_transfer_time(len(request.body))
        with self._changed:
            number = int(parts[0]) if parts[0].isdigit() else len(self._slots)
            if number >= len(self._slots):
                return _wsgi.make_json_response(404, {"error": "no such slot"})
            slot = self._slots[number]
            if slot.free or slot.generation != generation:
                return _wsgi.make_json_response(409, {"error": "generation"})
            if request.method == "PUT" and len(parts) == 1:
                slot.data = request.body
                self._written_bytes += len(request.body)
                return _wsgi.Response(204)
            if request.method == "POST" and parts[1:] == ["commit"]:
                return self._commit(slot)
        return _wsgi.make_json_response(405, {"error": "no such method"})

    def _commit(self, slot):
        if self.faults["partial_commit"]:
            slot.data = slot.data[: slot.length // 2]
        elif not self.faults["skip_check"] and not _is_complete(slot):
            return _wsgi.make_json_response(422, {"error": "length or checksum"})
        replaced = self._slots_by_key.get(slot.key)
        if replaced is not None and replaced is not slot:
            self._release(replaced)
        slot.committed = True
        slot.used_at = next(self._use_numbers)
        self._slots_by_key[slot.key] = slot
        self._freed_by_key.pop(slot.key, None)
        return _wsgi.Response(204)

    def _free(self, key):
        with self._changed:
            slot = self._slots_by_key.pop(key, None)
            if slot is None:
                return _wsgi.make_json_response(404, {"error": "no such block"})
            self._freed_by_key[key] = slot
            self._release(slot)
        return _wsgi.Response(204)

    def _release(self, slot):
        # The slot keeps its bytes until it is written again.
        slot.free = True
        slot.committed = False
        self._used_bytes -= slot.length
        self._free_numbers.append(slot.number)

    def _read(self, key, method):
        with self._changed:
            slot = self._find(key)
            if slot is None:
                return _wsgi.make_json_response(404, {"error": "no such block"})
            headers = {
                "X-Key": key,
                "X-Length": str(slot.length),
                "X-Checksum": slot.checksum,
                "X-Generation": str(slot.generation),
            }
            if method == "HEAD":
                return _wsgi.Response(200, b"", headers)
            length = slot.length
            slot.used_at = next(self._use_numbers)
            first_half = slot.data[: length // 2]
        self.simulate_read_time(length)
        with self._changed:
            data = self._corrupt(first_half + slot.data[length // 2 :])
            self._read_bytes += len(data)
        return _wsgi.Response(200, data, headers)

    def simulate_read_time(self, length):
        """Sleep for the duration of a read, between its first and second half."""
        time.sleep(self.faults["slow_read_s"])
        self._simulate_transfer_time(length)

    def _find(self, key):
        slot = self._slots_by_key.get(key)
        if slot is None and self.faults["serve_freed"]:
            slot = self._freed_by_key.get(key)
        if slot is None and self.faults["serve_uncommitted"]:
            written = [s for s in self._slots if s.key == key and not s.free]
            slot = written[0] if written else None
        return slot

    def _corrupt(self, data):
        if self.faults["truncate"]:
            data = data[: len(data) // 2]
        if self.faults["flip_bit"] and data:
            middle = len(data) // 2
            flipped = bytes([data[middle] ^ 1])
            data = data[:middle] + flipped + data[middle + 1 :]
        return data

    def _simulate_transfer_time(self, length):
        """Sleep until a transfer is done, which starts after all earlier ones."""
        bytes_per_s = self.faults["bytes_per_s"] or self.options.bytes_per_s
        if not bytes_per_s:
            return
        with self._changed:
            now = time.monotonic()
            start = max(now, self._link_idle_at)
            self._link_idle_at = start + length / bytes_per_s
            remaining_s = self._link_idle_at - now
        time.sleep(remaining_s)


def _is_complete(slot):
    if len(slot.data) != slot.length:
        return False
    return xxhash.xxh3_64_hexdigest(slot.data) == slot.checksum
