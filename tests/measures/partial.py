"""No measure: its parts are missing."""

FIGURES: dict[str, tuple[str, str]] = {}
