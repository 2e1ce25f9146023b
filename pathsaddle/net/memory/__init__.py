"""In-memory state of a running dispatcher: open txns and postings, worker connections, counters."""
