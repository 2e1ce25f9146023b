"""Shared settings: rows that change in service, by groups with a revision, in force at all members by proof."""
