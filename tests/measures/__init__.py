"""Measures that misbehave, for tests/test_scale.py; and one that is whole."""
