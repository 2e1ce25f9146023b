"""Whether a run kept the rules, from its events alone; and dispatchers that break them, which must be caught."""
