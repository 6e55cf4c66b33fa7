import hypothesis
import pytest
from hypothesis import strategies as st

from sycamorespoke import clients, domain, standins
from tests import fakes

STORE = domain.Host("ledger-cache", "seeb", domain.HostRole.STORE, "127.0.0.1:1")
KEYS = ["aa" * 32, "bb" * 32]
VERSION = "v1"


def make_envelope(key, version=VERSION):
    return clients.Envelope(key, version, f"data of {key}".encode() * 4)


class InterruptedStore(standins.StoreStandin):
    """Store host that runs callbacks during a read.

    `during` runs between the two halves of the bytes, `after` runs after the last
    byte, before the metadata is read again. Each runs once.
    """

    def __init__(self):
        super().__init__()
        self.during = self.after = lambda: None

    def simulate_read_time(self, length):
        during, self.during = self.during, lambda: None
        during()

    def handle(self, request):
        if request.method == "HEAD":
            after, self.after = self.after, lambda: None
            after()
        return super().handle(request)


class Writers:
    """Writers that may stop after any step of writing a block."""

    def __init__(self, store, client):
        self.store = store
        self.client = client
        self.slots = []

    def do(self, steps):
        for step in steps:
            self.do_step(*step)

    def do_step(self, verb, key, number):
        sealed = clients.encode_envelope(make_envelope(key))
        if verb == "write":
            self.client.write(STORE, make_envelope(key))
        elif verb == "allocate":
            slot = self.client.allocate(STORE, key, sealed)
            self.slots.append((slot, sealed))
        elif verb == "free":
            self.client.free(STORE, key)
        elif self.slots:
            slot, sealed = self.slots[number % len(self.slots)]
            if verb == "fill":
                self.client.fill(slot, sealed)
            elif verb == "fill part":
                self.client.fill(slot, sealed[: len(sealed) * 3 // 4])
            elif verb == "commit":
                self.client.commit(slot)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "allocate", "fill", "fill part", "commit", "free"]),
        st.sampled_from(KEYS),
        st.integers(0, 3),
    ),
    max_size=5,
)
FAULTS = st.sampled_from(
    [{}, {"skip_check": True}, {"partial_commit": True}, {"serve_freed": True}]
    + [{"serve_uncommitted": True}, {"skip_check": True, "serve_freed": True}]
)


@pytest.mark.blocks
@hypothesis.settings(derandomize=True, deadline=None, max_examples=1000)
@hypothesis.given(before=STEPS, during=STEPS, after=STEPS, faults=FAULTS)
def test_read_interleaved_never_partial_or_of_another_key(
    before, during, after, faults
):
    store = InterruptedStore()
    client = clients.StoreClient(pool=fakes.InProcessPool({STORE.name: store}))
    writers = Writers(store, client)
    store.set_faults(faults)
    writers.do([("write", KEYS[0], 0), *before])
    first = client.describe(STORE, KEYS[0])
    store.during = lambda: writers.do(during)
    store.after = lambda: writers.do(after)
    result = client.read(STORE, KEYS[0], VERSION)
    if not isinstance(result, clients.Envelope):
        assert result.reason
        return
    assert result == make_envelope(KEYS[0])
    # The block that was looked up is still the one that the host holds.
    assert client.describe(STORE, KEYS[0]) == first


@pytest.mark.blocks
@pytest.mark.parametrize("fault", ["truncate", "flip_bit", "partial_commit"])
def test_read_corrupt_block_is_invalid(fault):
    store = standins.StoreStandin()
    client = clients.StoreClient(pool=fakes.InProcessPool({STORE.name: store}))
    store.set_faults({fault: True})
    client.write(STORE, make_envelope(KEYS[0]))
    assert isinstance(client.read(STORE, KEYS[0], VERSION), clients.Invalid)


@pytest.mark.parametrize(
    ("envelope", "reason"),
    [
        (make_envelope(KEYS[1]), "the bytes are of another block"),
        (make_envelope(KEYS[0], "v2"), "the bytes are of another weight version"),
    ],
)
def test_read_other_block_under_key_is_invalid(envelope, reason):
    # The store host has the bytes of one block under the key of another.
    store = standins.StoreStandin()
    client = clients.StoreClient(pool=fakes.InProcessPool({STORE.name: store}))
    sealed = clients.encode_envelope(envelope)
    slot = client.allocate(STORE, KEYS[0], sealed)
    client.commit(client.fill(slot, sealed))
    assert client.read(STORE, KEYS[0], VERSION) == clients.Invalid(reason)


@pytest.mark.parametrize(
    ("fault", "kind"), [({"full": True}, clients.Full), (None, clients.Unavailable)]
)
def test_write_to_full_or_unreachable_store_fails(fault, kind):
    store = standins.StoreStandin()
    standins_by_host = {} if fault is None else {STORE.name: store}
    client = clients.StoreClient(pool=fakes.InProcessPool(standins_by_host))
    store.set_faults(fault or {})
    assert isinstance(client.write(STORE, make_envelope(KEYS[0])), kind)


def test_parse_envelope_arbitrary_bytes():
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.binary(max_size=80))
    def check(data):
        envelope = clients.parse_envelope(data)
        assert envelope is None or clients.encode_envelope(envelope) == data

    check()
