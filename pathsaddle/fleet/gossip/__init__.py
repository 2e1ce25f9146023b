"""Gossip among dispatchers: small records and larger documents, exchanged by anti-entropy (Scuttlebutt)."""
