"""Client and data types of the key-value service: transactions, leases and watches."""
