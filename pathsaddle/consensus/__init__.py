"""Consensus among acceptors: a replicated register for each key (Paxos), leases and fencing tokens.

The cores (`proposer`, `acceptor`, `lease_manager` with `campaign`) are free of I/O; `udp_driver` runs them.
"""
