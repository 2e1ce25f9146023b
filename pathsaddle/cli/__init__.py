"""The command line. Nothing imports it but `__main__` and the console script."""
