"""Settings of the C library's allocator."""

import ctypes

import loguru

# Parameter of mallopt(3), of the GNU C library.
ARENA_MAX = -8
ARENAS = 2


def limit_arenas():
    """Have the threads of the process share few arenas; call it before they start.

    By default each of them gets an arena of its own, up to eight for each core, and
    what was freed in one stays with the process.

    Returns
    -------
    bool
        Whether the C library supports it.
    """
    try:
        is_set = bool(ctypes.CDLL(None).mallopt(ARENA_MAX, ARENAS))
    except (AttributeError, OSError):
        is_set = False
    if not is_set:
        loguru.logger.warning("allocator keeps an arena for each thread")
    return is_set
