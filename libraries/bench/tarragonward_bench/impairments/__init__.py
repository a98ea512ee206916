"""Write days of impairments for the users' bench, and play them."""
