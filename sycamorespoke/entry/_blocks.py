"""Locates the blocks of prompts and moves them between engines and stores."""

import attrs

IMPORT_TIMEOUT_FACTOR = 2.0
IMPORT_TIMEOUT_MARGIN_S = 0.1


class BlockPlanner:
    """Locates, imports and exports the blocks of prompts.

    Parameters
    ----------
    transfers : transfers.Transfers
        Transfers blocks and tracks which store holds them.
    table : UpstreamTable
        State of the upstreams.
    """

    def __init__(self, transfers, table):
        self.transfers = transfers
        self.table = table

    def add_stored_blocks(self, candidates, keys, now):
        """Add the blocks that can be imported from stores to the candidates.

        Parameters
        ----------
        candidates : list of decisions.Candidate
            Engines that may get the prompt.
        keys : tuple of str
            Block keys of the prompt.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        list of decisions.Candidate
            The candidates with `stored_blocks` and `transfer_s` set, in the same
            order.
        """
        if not keys:
            return candidates
        location = self.transfers.locate(keys, now)
        best_cached = max((c.cached_blocks for c in candidates), default=0)
        if not location.blocks and not best_cached:
            # Another entry host may have handled the prompt before and exported
            # its blocks.
            location = self.transfers.discover(keys, now)
        return [
            self._add_location(candidate, location, now) for candidate in candidates
        ]

    def import_blocks(self, choice, request, deadline_s, now):
        """Import the stored blocks of a prompt into the chosen engine.

        Parameters
        ----------
        choice : Choice
            From `Chooser.choose`.
        request : clients.GenerationRequest
            Request to send.
        deadline_s : float
            Deadline of the request, monotonic time in seconds.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        int
            Number of leading blocks that the engine is expected to have cached
            afterwards.
        """
        candidate = choice.candidate
        if not choice.cost.imports:
            return candidate.cached_blocks
        timeout_s = (
            candidate.transfer_s * IMPORT_TIMEOUT_FACTOR + IMPORT_TIMEOUT_MARGIN_S
        )
        imported = self.transfers.import_blocks(
            request.block_keys,
            request.version,
            candidate.host,
            now,
            skip=candidate.cached_blocks,
            timeout_s=min(timeout_s, deadline_s - now),
        )
        keys = request.block_keys[: imported.blocks]
        self.table.record_imported(candidate.host.name, keys)
        return imported.blocks

    def export_blocks(self, candidate, request, is_repeated, now):
        """Queue the export of a prompt's blocks without waiting for it.

        Parameters
        ----------
        candidate : decisions.Candidate
            Engine that computed the prompt.
        request : clients.GenerationRequest
            Request that was sent.
        is_repeated : bool
            Whether the prompt or a prefix of it has been seen before.
        now : float
            Current monotonic time, in seconds.
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
