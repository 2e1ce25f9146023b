"""The world of members alone: no jobs, workers or discovery, on the virtual ground."""
