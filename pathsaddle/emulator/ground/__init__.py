"""What a run stands on: virtual time, hosts and the connections between them; relays on real sockets; plain HTTP."""
