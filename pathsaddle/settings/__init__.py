"""Shared settings: entries that change in service.

They change by change sets with a revision, which is active once that is proven for all subscribers.
"""
