"""A plan by rules of thumb, our own: the answer when the solver has none in time, and what the solver is held
against.

Nothing that serves is moved. First the target of each kind, on the islands that are nearest to it; then
always to the island and kind with the least headroom; what is left, to where a job of usual width fits or
soonest will.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from pathsaddle.placement.problem import PER, Counts, Problem, widest


def greedy(problem: Problem) -> Counts:
    counts = [list(row) for row in problem.stay]
    pool = list(problem.pool)
    kinds = range(len(problem.kinds))
    islands = range(len(problem.islands))

    def put(i: int, k: int) -> bool:
        if not pool[k] or not problem.fits(counts, i, k):
            return False
        counts[i][k] += 1
        pool[k] -= 1
        return True

    for k in kinds:
        slots = problem.kinds[k].slots
        whole = sum(row[k] for row in counts) + pool[k]
        # Two islands to the target's width; where there is not enough for both, the two as even as can be.
        wanted = min(-(-problem.width[k] // slots), max(whole // 2, 0))
        for i in sorted(islands, key=lambda i: (-counts[i][k], sum(counts[i]) - problem.rooms[i], i)):
            if widest([row[k] for row in counts]) >= wanted:
                break
            while counts[i][k] < wanted and put(i, k):
                pass
    heap = [
        (counts[i][k] * problem.kinds[k].slots * PER * PER // problem.part[i][k], i, k)
        for i in islands
        for k in kinds
        if problem.part[i][k]
    ]
    heapify(heap)
    while heap:
        _, i, k = heappop(heap)
        if put(i, k):
            heappush(heap, (counts[i][k] * problem.kinds[k].slots * PER * PER // problem.part[i][k], i, k))
    for k in kinds:
        for i in sorted(islands, key=lambda i: (-counts[i][k], i)):
            while put(i, k):
                pass
    return counts
