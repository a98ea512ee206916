"""Measure policies for prompts of all lengths on modelled engines."""
