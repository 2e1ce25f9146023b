"""The operator's file: what may stand in it, and what is made of it."""
