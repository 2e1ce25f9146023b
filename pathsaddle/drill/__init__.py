"""The bench's wire: many dispatchers in one process, fed on standard input."""
