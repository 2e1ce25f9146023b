"""Simulated machines for consensus, their faults, and checkers that read the log alone."""
