"""A plan as text for people. The `plan` command prints it."""

from __future__ import annotations

from pathsaddle.placement.plan import Plan, Step, StepAction


def format_plan(plan: Plan) -> str:
    """Return the plan's steps, what fits at the end, and its notes, a line each."""
    lines = [
        f"plan {plan.name}: {len(plan.steps)} steps, by {plan.by}, "
        f"at most {100 * plan.gap:.1f}% from the bound",
        *(_format_step(index, step) for index, step in enumerate(plan.steps)),
        f"at the end a job fits after a loss of: {_format_widths(plan.reaches)}",
        *(f"note: {note}" for note in plan.notes),
    ]
    return "\n".join(lines)


def _format_step(index: int, step: Step) -> str:
    direction = "in" if step.does is StepAction.ADD else "out of"
    line = f"{index + 1:5} {step.does:8} {step.unit} {direction} {step.bay}"
    line += f"   fits after a loss: {_format_widths(step.widest)}"
    return line + (f"   BELOW THE TARGET: {step.why}" if step.why else "")


def _format_widths(widths: dict[str, int]) -> str:
    return ", ".join(f"{kind} {width}" for kind, width in widths.items())
