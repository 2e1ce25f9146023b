"""State that dispatchers share, each kind within a bound that holds while any part of the fleet hears
nothing.
"""
