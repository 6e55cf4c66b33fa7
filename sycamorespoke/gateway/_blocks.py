"""What the stores of cached prompt parts hold, and what requests do with it."""

import collections
import threading

import attrs
import loguru

from sycamorespoke import decisions, messages
from sycamorespoke.gateway import _clock, _source

POLL_S = 0.25
# What a store holds is believed for this long after its last answer. It is
# shorter than a restart takes, after which a part may be half written.
BELIEVED_S = 0.9
RETRY_S = 0.3
# An answer of the platform is as old as this when it arrives, at most.
CONFIRM_DELAY_S = 0.3
FORGET_SAVES_S = 10.0
# Events kept for hosts that ask; a host that is further behind gets all parts.
LOG_EVENTS = 2000
# Readers that a store serves, if it does not say; some are left for operators.
DEFAULT_READERS = 10
SPARE_READERS = 2


@attrs.frozen
class StoreEvent:
    """A part was completed in a store, or has left it.

    Parameters
    ----------
    scope : str
        Text under which it is found.
    part_id : str
        The part.
    tokens : int
        Tokens stored now.
    is_added : bool
        It is complete; else it has left.
    """

    scope: str
    part_id: str
    tokens: int
    is_added: bool


@attrs.frozen
class StoreEvents:
    """Events of a store since a number.

    Parameters
    ----------
    epoch : int
        Changes with each start of the store.
    next_number : int
        To ask from next.
    is_gap : bool
        Events before these are not kept any more.
    events : tuple of StoreEvent
        In order.
    clock_ms : float
        The clock of the stores and engines, Unix milliseconds.
    """

    epoch: int
    next_number: int
    is_gap: bool
    events: tuple[StoreEvent, ...]
    clock_ms: float


class StoreIndex:
    """What one store holds, from its events; safe to share among threads.

    Parameters
    ----------
    store : BlockStore
        The store.
    """

    def __init__(self, store):
        self.store = store
        self.epoch = None
        self.number = 0
        self.used_tokens = 0
        self._log = collections.deque(maxlen=LOG_EVENTS)
        self._log_start = 0
        self._tokens_by_key = {}
        self._seen_s_by_key = {}
        self._confirmed_s = float("-inf")
        self._clock_offset_ms = 0.0
        self._lock = threading.Lock()

    def take(self, page, now):
        """Take events that were received at ``now``, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the store has started anew.
        """
        with self._lock:
            is_new = page.epoch != self.epoch
            if is_new:
                self._restart(page.epoch, page.next_number)
            for event in page.events:
                tokens = event.tokens if event.is_added else 0
                self._apply(event.scope, event.part_id, tokens, page.next_number)
            self._confirm(page.next_number, now, page.clock_ms)
            return is_new

    def make_page(self, epoch, number, now):
        """Make the page for a host that knows events up to a number.

        Parameters
        ----------
        epoch, number : int
            How far the other host has come.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        messages.StorePage
            All that the store holds, if the events since are not kept.
        """
        with self._lock:
            is_whole = epoch != self.epoch or number < self._log_start
            if is_whole:
                events = [(*key, each) for key, each in self._tokens_by_key.items()]
            else:
                events = [each for last, each in self._log if last > number]
            age_s = now - self._confirmed_s
            clock_ms = self.read_clock_ms(now)
            return messages.StorePage(
                self.epoch, self.number, is_whole, events, age_s, clock_ms
            )

    def take_page(self, page, asked_s):
        """Take what another host told.

        Parameters
        ----------
        page : messages.StorePage
            Its answer.
        asked_s : float
            When it was asked, seconds of the boot clock.
        """
        with self._lock:
            if page.is_whole:
                self._restart(page.epoch, page.number)
            elif page.epoch != self.epoch:
                return
            for scope, part_id, tokens in page.events:
                self._apply(scope, part_id, tokens, page.number)
            self._confirm(page.number, asked_s - page.age_s, None)
            # The clock that was sent is older by now; a fetch ends rather early.
            self._clock_offset_ms = page.clock_ms - _clock.read_clock() * 1000

    def drop(self, keys):
        """Forget parts that were freed; the event of that may be lost."""
        with self._lock:
            for scope, part_id in keys:
                self._apply(scope, part_id, 0, self.number)
            self.used_tokens = sum(self._tokens_by_key.values())

    def _restart(self, epoch, number):
        self.epoch = epoch
        self._tokens_by_key = {}
        self._seen_s_by_key = {}
        self._log.clear()
        self._log_start = number

    def _apply(self, scope, part_id, tokens, number):
        key = (scope, part_id)
        if tokens:
            self._tokens_by_key[key] = tokens
            self._seen_s_by_key.setdefault(key, _clock.read_clock())
        else:
            self._tokens_by_key.pop(key, None)
            self._seen_s_by_key.pop(key, None)
        if len(self._log) == LOG_EVENTS:
            self._log_start = self._log[0][0]
        self._log.append((number, (scope, part_id, tokens)))

    def _confirm(self, number, confirmed_s, clock_ms):
        self.number = number
        self.used_tokens = sum(self._tokens_by_key.values())
        self._confirmed_s = confirmed_s
        if clock_ms is not None:
            self._clock_offset_ms = clock_ms - confirmed_s * 1000

    def forget(self):
        """Believe nothing of it until it answers again."""
        with self._lock:
            self._confirmed_s = float("-inf")

    def is_known(self, now):
        """Return whether its content is known at ``now``."""
        return now - self._confirmed_s <= BELIEVED_S

    def holds(self, scope, part, before_s):
        """Return whether it holds a whole part that was complete by a time.

        Parameters
        ----------
        scope : str
            Text under which the part is found.
        part : PromptPart
            The part.
        before_s : float
            Latest time at which this host learned of it, seconds of the boot
            clock.
        """
        key = (scope, part.id)
        if self._tokens_by_key.get(key, -1) != part.tokens:
            return False
        return self._seen_s_by_key.get(key, float("inf")) <= before_s

    def read_clock_ms(self, now):
        """Return the clock of the stores at ``now``, Unix milliseconds."""
        return now * 1000 + self._clock_offset_ms

    def list_parts(self):
        """Return the complete parts as (scope, id) with their tokens."""
        with self._lock:
            return dict(self._tokens_by_key)


class StoreFollower:
    """Keeps a `StoreIndex` up to date in a thread of its own.

    Parameters
    ----------
    client : object
        Has ``read_events(address, since, wait_s)``.
    index : StoreIndex
        What it keeps.
    """

    def __init__(self, client, index):
        self.client = client
        self.index = index
        self._stopped = threading.Event()
        self._was_away = False

    def start(self):
        """Follow until `stop`."""
        threading.Thread(target=self._run, name="store", daemon=True).start()

    def stop(self):
        """Stop following."""
        self._stopped.set()

    def step(self):
        """Ask once; return the seconds to wait before the next step."""
        address = self.index.store.address
        page = self.client.read_events(address, self.index.number, POLL_S)
        if isinstance(page, _source.Unavailable):
            self.index.forget()
            if not self._was_away:
                self._was_away = True
                self._log("store of parts lost", reason=page.reason)
            return RETRY_S
        is_new = self.index.take(page, _clock.read_clock())
        if is_new or self._was_away or page.is_gap:
            self._was_away = False
            self._log("store of parts known", epoch=page.epoch, gap=page.is_gap)
        return 0.0

    def _run(self):
        while not self._stopped.is_set():
            try:
                wait_s = self.step()
            except Exception:
                loguru.logger.exception("following a store failed")
                wait_s = RETRY_S
            if wait_s:
                self._stopped.wait(wait_s)

    def _log(self, event, **fields):
        loguru.logger.bind(store=self.index.store.address, **fields).info(event)


class Blocks:
    """Plans what requests fetch and save.

    Parameters
    ----------
    client : object
        Has ``read_events``, see `StoreFollower`.
    """

    def __init__(self, client):
        self.client = client
        self._followers_by_address = {}
        self._indexes_by_address = {}
        self._saved_s_by_key = {}
        self._lock = threading.Lock()

    def configure(self, configuration, is_reader):
        """Follow the managed stores of a configuration, and no others.

        Parameters
        ----------
        configuration : Configuration
            Lists the stores.
        is_reader : bool
            This host reads the stores itself; else it is told by others.
        """
        stores_by_address = {
            service.store.address: service.store
            for service in configuration.services_by_name.values()
            if service.store is not None and service.store.is_managed
        }
        for address in self._indexes_by_address.keys() - stores_by_address.keys():
            self._indexes_by_address.pop(address)
        for address, store in stores_by_address.items():
            if address not in self._indexes_by_address:
                self._indexes_by_address[address] = StoreIndex(store)
        self._follow(stores_by_address if is_reader else {})

    def _follow(self, addresses):
        for address in self._followers_by_address.keys() - set(addresses):
            self._followers_by_address.pop(address).stop()
        for address in addresses:
            if address not in self._followers_by_address:
                index = self._indexes_by_address[address]
                follower = StoreFollower(self.client, index)
                self._followers_by_address[address] = follower
                follower.start()

    def plan(self, prompt, scope, may_fetch, confirmed_s, now):
        """Plan the transfers of a request that is about to be sent.

        Parameters
        ----------
        prompt : Prompt
            Its prompt.
        scope : str
            Text under which its parts are found.
        may_fetch : bool
            The request may use the stores, see `decisions.may_fetch`.
        confirmed_s : float
            When it was last confirmed that these weights are the newest. A part
            that was complete by then was made by no other weights, although
            requests go on when an engine changes its weights.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        (decisions.BlockPlan, int)
            The plan, and when a fetch is thrown away, on the stores' clock.
        """
        indexes_by_address = dict(self._indexes_by_address)
        if not may_fetch or not indexes_by_address:
            return decisions.BlockPlan(), 0
        states = [
            decisions.StoreState(
                address,
                index.store.capacity_tokens,
                index.used_tokens,
                index.is_known(now),
            )
            for address, index in indexes_by_address.items()
        ]
        before_s = confirmed_s - CONFIRM_DELAY_S
        plan = decisions.plan_blocks(
            prompt.parts,
            states,
            lambda address, part: indexes_by_address[address].holds(
                scope, part, before_s
            ),
            lambda part: self._saved_s_by_key.get((scope, part.id), float("-inf")),
            now,
        )
        self._note_saves(prompt, scope, plan, now)
        return plan, self._compute_until_ms(plan, indexes_by_address, now)

    def count_readers(self, configuration):
        """Return how many hosts may read every store of a configuration."""
        readers = [
            service.store.readers
            for service in configuration.services_by_name.values()
            if service.store is not None and service.store.readers
        ]
        return max(min(readers, default=DEFAULT_READERS) - SPARE_READERS, 1)

    def forget_old_saves(self, now):
        """Forget the saves that are old by ``now``."""
        with self._lock:
            for key, saved_s in list(self._saved_s_by_key.items()):
                if now - saved_s > FORGET_SAVES_S:
                    del self._saved_s_by_key[key]

    def list_indexes(self):
        """Return the indexes of all stores."""
        return list(self._indexes_by_address.values())

    def dump(self, now):
        """Return what the stores hold as JSON values, by address."""
        return {
            address: {
                "known": index.is_known(now),
                "epoch": index.epoch,
                "parts": len(index.list_parts()),
                "used_tokens": index.used_tokens,
                "capacity_tokens": index.store.capacity_tokens,
            }
            for address, index in dict(self._indexes_by_address).items()
        }

    def _note_saves(self, prompt, scope, plan, now):
        if not plan.saves:
            return
        with self._lock:
            for part, address in zip(prompt.parts, plan.save_to, strict=True):
                if address is not None:
                    self._saved_s_by_key[scope, part.id] = now

    def _compute_until_ms(self, plan, indexes_by_address, now):
        clocks_ms = [
            indexes_by_address[address].read_clock_ms(now)
            for address in plan.fetch_from
            if address is not None
        ]
        return int(min(clocks_ms) + decisions.FETCH_S * 1000) if clocks_ms else 0
