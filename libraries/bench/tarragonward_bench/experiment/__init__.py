"""Play policies side by side on a modelled fleet."""
