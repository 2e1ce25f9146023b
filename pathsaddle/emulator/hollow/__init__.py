"""Hollow processes for the scale rig: they say what the protocol wants by script and do no work."""
