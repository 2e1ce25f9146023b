"""The real dispatcher: the decisions of scheduler.py behind HTTP on sockets."""
