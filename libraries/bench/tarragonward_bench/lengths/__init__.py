"""Measure placement policies for prompts of all lengths on simulated engines."""
