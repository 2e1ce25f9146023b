"""Which new unit goes into which bay, in which order, so that islands stay balanced for large jobs
(docs/placement.md).
"""
