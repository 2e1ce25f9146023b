"""Overload control for the whole fleet: the shed level, load summaries, retry budgets and retry advice.

All dispatchers of a fleet derive one shed level from the load summaries that they exchange, and reject the
same requests. `config/` and the emulators build the gate; `choice.py` calls it through `trade.Gate` and loads
nothing of this package by itself.
"""
