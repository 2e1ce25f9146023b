"""Overload handled by the fleet as one: who is shed, at which level,
and what all may do beside first postings.
"""
