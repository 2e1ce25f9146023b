"""A virtual ground for owners: hosts with clocks, disks and links that fail,
and a judge that reads the log alone.
"""
