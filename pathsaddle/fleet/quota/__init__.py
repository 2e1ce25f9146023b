"""Rates that all dispatchers together must not exceed, lent among them as leases of quota units."""
