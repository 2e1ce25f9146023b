"""Who is in the fleet of dispatchers, as each member sees it; off where the charter has no `[fleet]`."""
