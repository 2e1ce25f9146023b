"""A ground for the state that members share: their cores alone, what is between them broken,
and a judge of the log.
"""
