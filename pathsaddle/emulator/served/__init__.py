"""Who is around the dispatchers: workers, discovery, clients, and the dispatchers' places in a fleet."""
