"""The wire formats: bytes to typed messages and back, without any socket."""
