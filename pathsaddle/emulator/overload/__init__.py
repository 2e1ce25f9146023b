"""A ground of its own for overload: members, workers, clients that come again,
and a judge that reads the log alone.
"""
