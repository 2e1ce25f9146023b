"""Start and stop of a dispatcher, and the tasks that read and write its sockets."""
