"""Index of the blocks in one block store, built from its events."""

import collections
import threading

import attrs
import loguru

from sycamorespoke import decisions, messages, serving

# The index is valid for this long after the last response of the store: less than a
# restart of the store takes, after which a block may be half written.
MAX_UNCONFIRMED_S = 0.9
# Imports that were sent before a start of the store may begin for this long after its
# new epoch is known: another host sends them while its index is valid.
EXPORT_SETTLE_S = (
    MAX_UNCONFIRMED_S + decisions.IMPORT_TIMEOUT_S + decisions.CLOCK_MARGIN_S
)
# A host that is further behind than this many events gets all blocks.
MAX_LOGGED_EVENTS = 2000


@attrs.frozen
class StoreEvent:
    """A block became complete in a store or was removed from it.

    Parameters
    ----------
    scope : str
        Scope under which the block is looked up.
    block_id : str
        ID of the block.
    tokens : int
        Number of tokens stored.
    is_added : bool
        Whether the block is complete. Otherwise it was removed.
    """

    scope: str
    block_id: str
    tokens: int
    is_added: bool


@attrs.frozen
class StoreEvents:
    """Events of a store since a number.

    Parameters
    ----------
    epoch : int
        Number that changes with each start of the store.
    next_number : int
        Number from which to request the next events.
    is_gap : bool
        Whether the store has discarded events that precede these.
    events : tuple of StoreEvent
        Events in order.
    clock_ms : float
        Time of the clock that stores and engines share, Unix milliseconds.
    """

    epoch: int
    next_number: int
    is_gap: bool
    events: tuple[StoreEvent, ...]
    clock_ms: float


class StoreIndex:
    """Blocks that one store holds, according to its events; thread-safe.

    Parameters
    ----------
    store : BlockStore
        The store.
    """

    def __init__(self, store):
        self.store = store
        self.epoch = None
        self.next_number = 0
        self.used_tokens = 0
        self._log = collections.deque(maxlen=MAX_LOGGED_EVENTS)
        self._log_start = 0
        self._tokens_by_key = {}
        self._indexed_s_by_key = {}
        self._blocks_by_scope = collections.Counter()
        self._confirmed_s = float("-inf")
        self._epoch_seen_s = float("inf")
        self._backoff_until_s = float("-inf")
        self._clock_offset_ms = 0.0
        self._lock = threading.Lock()

    def apply_events(self, page, now):
        """Apply events that were received at ``now``, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the store was restarted since the last events.
        """
        with self._lock:
            is_restarted = page.epoch != self.epoch
            if is_restarted:
                self._restart(page.epoch, page.next_number)
            for event in page.events:
                tokens = event.tokens if event.is_added else 0
                self._apply(event.scope, event.block_id, tokens, page.next_number)
            self._confirm(page.next_number, now, page.clock_ms)
            return is_restarted

    def make_page(self, epoch, number, now):
        """Make the page for a host that has the events up to a number.

        Parameters
        ----------
        epoch, number : int
            Epoch and next event number of the other host.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        messages.StorePage
            Contains all blocks if the epoch differs or the events since the number
            are no longer logged.
        """
        with self._lock:
            is_whole = epoch != self.epoch or number < self._log_start
            if is_whole:
                events = [(*key, each) for key, each in self._tokens_by_key.items()]
            else:
                events = [each for last, each in self._log if last > number]
            age_s = now - self._confirmed_s
            clock_ms = self.compute_store_clock_ms(now)
            return messages.StorePage(
                self.epoch, self.next_number, is_whole, events, age_s, clock_ms
            )

    def apply_page(self, page, requested_s):
        """Apply a page that another host relayed.

        Parameters
        ----------
        page : messages.StorePage
            The page.
        requested_s : float
            When it was requested, seconds of the boot clock.
        """
        with self._lock:
            if page.is_whole:
                self._restart(page.epoch, page.number)
            elif page.epoch != self.epoch:
                return
            for scope, block_id, tokens in page.events:
                self._apply(scope, block_id, tokens, page.number)
            self._confirm(page.number, requested_s - page.age_s, None)
            # The transmitted clock lags by the delay of the reply, so deadlines of
            # imports are early rather than late.
            self._clock_offset_ms = page.clock_ms - serving.read_clock() * 1000

    def remove(self, keys):
        """Remove freed blocks, since the events that report it may be lost."""
        with self._lock:
            for scope, block_id in keys:
                self._apply(scope, block_id, 0, self.next_number)

    def _restart(self, epoch, number):
        if epoch != self.epoch:
            self._epoch_seen_s = serving.read_clock()
        self.epoch = epoch
        self.used_tokens = 0
        self._tokens_by_key = {}
        self._indexed_s_by_key = {}
        self._blocks_by_scope.clear()
        self._log.clear()
        self._log_start = number

    def _apply(self, scope, block_id, tokens, number):
        key = (scope, block_id)
        self.used_tokens += tokens - self._tokens_by_key.get(key, 0)
        was_held = key in self._tokens_by_key
        self._blocks_by_scope[scope] += bool(tokens) - was_held
        if not self._blocks_by_scope[scope]:
            del self._blocks_by_scope[scope]
        if tokens:
            self._tokens_by_key[key] = tokens
            self._indexed_s_by_key.setdefault(key, serving.read_clock())
        else:
            self._tokens_by_key.pop(key, None)
            self._indexed_s_by_key.pop(key, None)
        if len(self._log) == MAX_LOGGED_EVENTS:
            self._log_start = self._log[0][0]
        self._log.append((number, (scope, block_id, tokens)))

    def _confirm(self, number, confirmed_s, clock_ms):
        self.next_number = number
        self._confirmed_s = confirmed_s
        if clock_ms is not None:
            self._clock_offset_ms = clock_ms - confirmed_s * 1000

    def invalidate(self):
        """Mark the index as outdated until the store responds again."""
        with self._lock:
            self._confirmed_s = float("-inf")

    def record_unavailable(self, unavailable, now):
        """Record that the store refused a request, and the backoff that it wants.

        Parameters
        ----------
        unavailable : Unavailable
            Why there is no usable response.
        now : float
            Current time, seconds of the boot clock.
        """
        statements = unavailable.statements
        if statements is None or statements.backoff_s is None:
            return
        backoff_s = min(statements.backoff_s, decisions.MAX_BACKOFF_S)
        self._backoff_until_s = max(self._backoff_until_s, now + backoff_s)
        loguru.logger.bind(
            store=self.store.address,
            asked_s=statements.backoff_s,
            backoff_s=backoff_s,
        ).info("store backoff")

    def get_backoff_s(self, now):
        """Return for how long the store wants no requests of this host, seconds."""
        return max(self._backoff_until_s - now, 0.0)

    def is_current(self, now):
        """Return whether the index is valid at ``now``."""
        return now - self._confirmed_s <= MAX_UNCONFIRMED_S

    def may_export(self, now):
        """Return whether no import sent before the store's last start can begin."""
        return now - self._epoch_seen_s >= EXPORT_SETTLE_S

    def has_block(self, scope, block, before_s):
        """Return whether the store holds a block that was complete by a time.

        Parameters
        ----------
        scope : str
            Scope under which the block is looked up.
        block : PromptBlock
            The block.
        before_s : float
            Latest time at which this host may have indexed the block, seconds of the
            boot clock.
        """
        key = (scope, block.id)
        if self._tokens_by_key.get(key, -1) != block.tokens:
            return False
        return self._indexed_s_by_key.get(key, float("inf")) <= before_s

    def compute_store_clock_ms(self, now):
        """Return the time of the stores' clock at ``now``, Unix milliseconds."""
        return now * 1000 + self._clock_offset_ms

    def list_scopes(self):
        """Return the scopes of the complete blocks as a list."""
        with self._lock:
            return list(self._blocks_by_scope)

    def list_blocks(self):
        """Return the tokens of each complete block by (scope, id)."""
        with self._lock:
            return dict(self._tokens_by_key)
