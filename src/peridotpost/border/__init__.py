"""Validated models for everything that comes from outside."""
