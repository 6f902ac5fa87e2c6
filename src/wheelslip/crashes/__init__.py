"""Protection of workers against requests that crash them."""
