"""Members and keepers of shared settings on a virtual ground: faults, bounds judged from the log alone, mutants."""
