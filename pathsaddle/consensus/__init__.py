"""Consensus among voters: a replicated register for each key (Paxos), leases and fencing tokens."""
