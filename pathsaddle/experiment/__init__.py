"""Plans run many times over: seeds, variants, earlier commits, baselines; their results kept and compared."""
