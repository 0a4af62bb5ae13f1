"""Optional components of a node. `registry` lists them with the configuration that enables each."""
