"""The dispatcher process: the scheduler's decisions served over HTTP on sockets."""
