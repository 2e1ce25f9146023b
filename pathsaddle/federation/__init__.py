"""Regions that are fleets of their own, and the spec that says which jobs may leave which; off without its
table.
"""
