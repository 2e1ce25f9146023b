"""Histories checked after the fact: what members wrote down is read by checkers that know nothing of their
code.
"""
