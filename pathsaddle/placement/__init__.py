"""Placement of new hardware: which unit goes into which bay, and in which order (docs/placement.md).

The program `python -m pathsaddle.placement` and the emulator use it; no dispatcher loads it.
"""
