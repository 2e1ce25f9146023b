"""Measures of the scale rig: the program's own cores and drivers at a size that real processes would not
fit.
"""
