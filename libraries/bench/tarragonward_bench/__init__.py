"""Demo, benchmarks and randomised simulations; not part of the deployed system."""
