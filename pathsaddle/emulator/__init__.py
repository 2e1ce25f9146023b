"""What is served, emulated: workers, roster, clients and the network, on sockets or in virtual time."""
