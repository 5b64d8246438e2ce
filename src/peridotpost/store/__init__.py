"""Interface to the platform's key-value store, and its etcd adapter."""
