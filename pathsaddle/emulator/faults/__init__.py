"""What goes wrong in a run."""
