"""Run the hearing of publications at random, hosts and source in simulated time."""
