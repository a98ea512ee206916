"""Play days by the users' bench, compare changes by pairs, and read the losses."""
