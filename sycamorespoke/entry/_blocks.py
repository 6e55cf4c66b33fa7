"""Where the blocks of a prompt are, and how they get to the chosen engine."""

import attrs

IMPORT_TIMEOUT_FACTOR = 2.0
IMPORT_TIMEOUT_MARGIN_S = 0.1


class BlockPlanner:
    """Locates, imports and exports the blocks of prompts.

    Parameters
    ----------
    transfers : transfers.Transfers
        Moves blocks and knows which store holds which.
    table : UpstreamTable
        What is known about the upstreams.
    """

    def __init__(self, transfers, table):
        self.transfers = transfers
        self.table = table

    def add_stored_blocks(self, candidates, keys, now):
        """Add to candidates what the stores can bring to them.

        Parameters
        ----------
        candidates : list of decisions.Candidate
            Engines that may take the prompt.
        keys : tuple of str
            Block keys of the prompt.
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        list of decisions.Candidate
            In the same order.
        """
        if not keys:
            return candidates
        location = self.transfers.locate(keys, now)
        best_cached = max((c.cached_blocks for c in candidates), default=0)
        if not location.blocks and not best_cached:
            # The prompt may have come to another entry host before.
            location = self.transfers.discover(keys, now)
        return [
            self._add_location(candidate, location, now) for candidate in candidates
        ]

    def import_blocks(self, choice, request, deadline_s, now):
        """Bring the stored blocks of a prompt to the chosen engine.

        Parameters
        ----------
        choice : Choice
            From `Chooser.choose`.
        request : clients.Generate
            What is to be sent.
        deadline_s : float
            When the request is given up, seconds of the monotonic clock.
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        int
            Leading blocks that the engine is believed to cache now.
        """
        candidate = choice.candidate
        if not choice.cost.imports:
            return candidate.cached_blocks
        longest_s = (
            candidate.transfer_s * IMPORT_TIMEOUT_FACTOR + IMPORT_TIMEOUT_MARGIN_S
        )
        imported = self.transfers.import_blocks(
            request.block_keys,
            request.version,
            candidate.host,
            now,
            skip=candidate.cached_blocks,
            deadline_s=min(longest_s, deadline_s - now),
        )
        keys = request.block_keys[: imported.blocks]
        self.table.record_imported(candidate.host.name, keys)
        return imported.blocks

    def export_blocks(self, candidate, request, is_repeated, now):
        """Queue the export of a computed prompt; does not wait.

        Parameters
        ----------
        candidate : decisions.Candidate
            The engine that computed it.
        request : clients.Generate
            What was sent.
        is_repeated : bool
            The prompt had come before.
        now : float
            Present time, seconds of the monotonic clock.
        """
        if request.block_keys:
            self.transfers.export_blocks(
                request.block_keys, request.version, candidate.host, now, is_repeated
            )

    def _add_location(self, candidate, location, now):
        if location.blocks <= candidate.cached_blocks:
            return candidate
        transfer_s = self.transfers.estimate_import_s(
            location, candidate.host, now, skip=candidate.cached_blocks
        )
        return attrs.evolve(
            candidate, stored_blocks=location.blocks, transfer_s=transfer_s
        )
