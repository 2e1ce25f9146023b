"""An allocation by rules of thumb.

It is the answer when the solver has none in time, and what the solver is compared with.

`solver` starts from it, and the emulator uses it as a baseline. It never moves a unit that serves. It fills
first the target of each kind on the islands that are nearest to it, then always the island and kind with
the least headroom; what is left goes to where a job of median width fits or soonest will.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from pathsaddle.placement.problem import Counts, Problem, headroom_of, widest_after_loss

SortKey = tuple[int, ...]


def choose_greedily(problem: Problem) -> Counts:
    """Choose how many units of each kind stand on each island."""
    allocation = _GreedyAllocation(problem)
    allocation.fill_targets()
    allocation.raise_least_headroom()
    allocation.add_rest()
    return allocation.counts


class _GreedyAllocation:
    """The counts so far, and what is left in the store."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        self.counts = [list(row) for row in problem.committed]
        self._available = list(problem.available)
        self._kinds = range(len(problem.kinds))
        self._islands = range(len(problem.islands))

    def _add_unit(self, i: int, k: int) -> bool:
        """Put one unit of kind `k` on island `i`; return whether there was one and it had room."""
        if not self._available[k] or not self.problem.has_capacity(self.counts, i, k):
            return False
        self.counts[i][k] += 1
        self._available[k] -= 1
        return True

    def fill_targets(self) -> None:
        """Fill two islands to the target of each kind."""
        problem, counts = self.problem, self.counts
        for k in self._kinds:
            total = sum(row[k] for row in counts) + self._available[k]
            # Two islands up to the target; where there is not enough for both, the two as even as can be.
            wanted = min(-(-problem.target_width[k] // problem.kinds[k].slots), max(total // 2, 0))

            def nearest_first(i: int, k: int = k) -> SortKey:
                """Order islands by units of the kind, then by usable bays left."""
                return -counts[i][k], sum(counts[i]) - problem.usable_bays[i], i

            for i in sorted(self._islands, key=nearest_first):
                if widest_after_loss([row[k] for row in counts]) >= wanted:
                    break
                while counts[i][k] < wanted and self._add_unit(i, k):
                    pass

    def raise_least_headroom(self) -> None:
        """Put units on the island and kind with the least headroom, as long as any has room."""
        problem, counts, share = self.problem, self.counts, self.problem.demand_share
        heap = [
            (headroom_of(problem, counts[i][k], share[i][k], k), i, k)
            for i in self._islands
            for k in self._kinds
            if share[i][k]
        ]
        heapify(heap)
        while heap:
            _, i, k = heappop(heap)
            if self._add_unit(i, k):
                heappush(heap, (headroom_of(problem, counts[i][k], share[i][k], k), i, k))

    def add_rest(self) -> None:
        """Put what is left on the islands that have most of its kind."""
        for k in self._kinds:

            def most_first(i: int, k: int = k) -> SortKey:
                """Order islands by units of the kind."""
                return -self.counts[i][k], i

            for i in sorted(self._islands, key=most_first):
                while self._add_unit(i, k):
                    pass
