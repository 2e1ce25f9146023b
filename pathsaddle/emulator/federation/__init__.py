"""The world of regions: its ground, what is served in it, its judge, its mutants."""
