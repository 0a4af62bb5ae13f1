"""Optional components of a node. `registry` names them, and what turns each on."""
