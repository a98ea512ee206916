"""Randomised runs of the propagation of publications, in simulated time."""
