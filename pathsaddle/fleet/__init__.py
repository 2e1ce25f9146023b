"""The fleet of dispatchers: who is in it as each member sees it, and how members are asked.

Nothing of this package is loaded where the configuration file has no `[fleet]`.
"""
