"""The former name of `pathsaddle.consensus`, kept for the command `python -m pathsaddle.ownership`."""
