"""A dispatcher that pushes jobs to the worker with the least backlogged work of their type."""

__version__ = "0.2.0"
