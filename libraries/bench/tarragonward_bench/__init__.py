"""The demo, the measurements and the long randomised runs; no part of the product."""
