"""Take safeguards out of a copy, and see that their tests fail there."""
