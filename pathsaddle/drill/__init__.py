"""The wire of the operators' bench: many dispatchers in one process, driven over standard input."""
