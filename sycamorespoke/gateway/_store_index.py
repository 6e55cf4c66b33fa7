"""What one store of cached prompt parts holds, from its events."""

import collections
import threading

import attrs

from sycamorespoke import messages, serving

# What a store holds is believed for this long after its last answer. It is
# shorter than a restart takes, after which a part may be half written.
MAX_UNCONFIRMED_S = 0.9
# Events kept for hosts that ask; a host that is further behind gets all parts.
MAX_LOGGED_EVENTS = 2000


@attrs.frozen
class StoreEvent:
    """A part was completed in a store, or has left it.

    Parameters
    ----------
    scope : str
        Text under which it is found.
    block_id : str
        The part.
    tokens : int
        Tokens stored now.
    is_added : bool
        It is complete; else it has left.
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
        self._log = collections.deque(maxlen=MAX_LOGGED_EVENTS)
        self._log_start = 0
        self._tokens_by_key = {}
        self._seen_s_by_key = {}
        self._confirmed_s = float("-inf")
        self._clock_offset_ms = 0.0
        self._lock = threading.Lock()

    def apply_events(self, page, now):
        """Take events that were received at ``now``, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the store has started anew.
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

    def apply_page(self, page, requested_s):
        """Take what another host told.

        Parameters
        ----------
        page : messages.StorePage
            Its answer.
        requested_s : float
            When it was asked, seconds of the boot clock.
        """
        with self._lock:
            if page.is_whole:
                self._restart(page.epoch, page.number)
            elif page.epoch != self.epoch:
                return
            for scope, block_id, tokens in page.events:
                self._apply(scope, block_id, tokens, page.number)
            self._confirm(page.number, requested_s - page.age_s, None)
            # The clock that was sent is older by now; a fetch ends rather early.
            self._clock_offset_ms = page.clock_ms - serving.read_clock() * 1000

    def remove(self, keys):
        """Forget parts that were freed; the event of that may be lost."""
        with self._lock:
            for scope, block_id in keys:
                self._apply(scope, block_id, 0, self.number)

    def _restart(self, epoch, number):
        self.epoch = epoch
        self.used_tokens = 0
        self._tokens_by_key = {}
        self._seen_s_by_key = {}
        self._log.clear()
        self._log_start = number

    def _apply(self, scope, block_id, tokens, number):
        key = (scope, block_id)
        self.used_tokens += tokens - self._tokens_by_key.get(key, 0)
        if tokens:
            self._tokens_by_key[key] = tokens
            self._seen_s_by_key.setdefault(key, serving.read_clock())
        else:
            self._tokens_by_key.pop(key, None)
            self._seen_s_by_key.pop(key, None)
        if len(self._log) == MAX_LOGGED_EVENTS:
            self._log_start = self._log[0][0]
        self._log.append((number, (scope, block_id, tokens)))

    def _confirm(self, number, confirmed_s, clock_ms):
        self.number = number
        self._confirmed_s = confirmed_s
        if clock_ms is not None:
            self._clock_offset_ms = clock_ms - confirmed_s * 1000

    def invalidate(self):
        """Believe nothing of it until it answers again."""
        with self._lock:
            self._confirmed_s = float("-inf")

    def is_current(self, now):
        """Return whether its content is known at ``now``."""
        return now - self._confirmed_s <= MAX_UNCONFIRMED_S

    def has_block(self, scope, block, before_s):
        """Return whether it holds a whole part that was complete by a time.

        Parameters
        ----------
        scope : str
            Text under which the part is found.
        block : PromptBlock
            The part.
        before_s : float
            Latest time at which this host learned of it, seconds of the boot
            clock.
        """
        key = (scope, block.id)
        if self._tokens_by_key.get(key, -1) != block.tokens:
            return False
        return self._seen_s_by_key.get(key, float("inf")) <= before_s

    def read_clock_ms(self, now):
        """Return the clock of the stores at ``now``, Unix milliseconds."""
        return now * 1000 + self._clock_offset_ms

    def list_blocks(self):
        """Return the complete parts as (scope, id) with their tokens."""
        with self._lock:
            return dict(self._tokens_by_key)
