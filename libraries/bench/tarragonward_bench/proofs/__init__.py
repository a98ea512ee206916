"""Mutation testing: check that tests fail if the safeguard they cover is removed."""
