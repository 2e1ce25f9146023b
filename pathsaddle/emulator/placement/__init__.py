"""A world of islands for placement: planners, the book's keeper, hands that install, large jobs, and what
goes wrong.
"""
