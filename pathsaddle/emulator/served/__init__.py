"""Who is around the dispatchers: workers, roster, clients, and the dispatchers' places in a fleet."""
