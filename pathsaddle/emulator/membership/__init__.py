"""The world of members alone: no jobs, workers or roster, on the virtual ground."""
