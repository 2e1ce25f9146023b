"""Changes of configuration, in force everywhere or told by whom they are waited for."""
