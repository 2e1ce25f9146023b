"""Overload control for the whole fleet: the shed level, load summaries, retry budgets and retry advice.

All dispatchers of a fleet derive one shed level from the load summaries that they exchange, and reject the
same requests. `config/` and the emulators build the gate; `scheduler.py` calls it through the protocol
`scheduler_types.AdmissionGate` and imports nothing of this package.
"""
