"""Measure what control costs, and set the design size against its budget."""
