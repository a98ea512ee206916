"""Compare placement policies on a simulated fleet."""
