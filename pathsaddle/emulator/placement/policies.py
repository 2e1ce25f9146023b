"""Ways to choose how many units of each kind stand on each island: the plan's baselines and the plan
itself.
"""

from __future__ import annotations

from collections.abc import Callable

from pathsaddle.placement.greedy import choose_greedily
from pathsaddle.placement.problem import Allocation, ChooseCounts, Counts, Problem

Choose = ChooseCounts


def _filled(problem: Problem, choose: Callable[[Counts, list[int]], int]) -> Counts:
    """Unit by unit, kinds in turn, each to the island that `choose` takes of those that have room."""
    counts = [list(row) for row in problem.committed]
    pool = list(problem.available)
    while any(pool):
        for k, left in enumerate(pool):
            can = [i for i in range(len(counts)) if left and problem.has_capacity(counts, i, k)]
            if not can:
                pool[k] = 0
                continue
            counts[choose(counts, can)][k] += 1
            pool[k] -= 1
    return counts


def round_robin(problem: Problem) -> Allocation:
    last = -1

    def choose(counts: Counts, can: list[int]) -> int:
        nonlocal last
        last = next((i for i in can if i > last), can[0])
        return last

    return Allocation(_filled(problem, choose), "round robin", 0.0)


def fullest(problem: Problem) -> Allocation:
    return Allocation(
        _filled(
            problem, lambda counts, can: max(can, key=lambda i: (sum(counts[i]) / problem.usable_bays[i], -i))
        ),
        "fullest first",
        0.0,
    )


def emptiest(problem: Problem) -> Allocation:
    return Allocation(
        _filled(
            problem, lambda counts, can: min(can, key=lambda i: (sum(counts[i]) / problem.usable_bays[i], i))
        ),
        "emptiest first",
        0.0,
    )


def thumb(problem: Problem) -> Allocation:
    return Allocation(choose_greedily(problem), "greedy", 0.0)


def solved(problem: Problem) -> Allocation:
    """With a limit that these sizes don't come near, so that a slow machine plans the same."""
    from pathsaddle.placement.solver import solve_placement

    answer = solve_placement(problem, 60.0, lambda: 0.0)
    return Allocation(answer.counts, answer.method, answer.gap)


POLICIES: dict[str, Choose] = {
    "round robin": round_robin,
    "fullest first": fullest,
    "emptiest first": emptiest,
    "greedy": thumb,
    "plan": solved,
}
