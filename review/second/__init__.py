"""Stand-ins of the second review: front ends, kernel, database and name service, by the operators' pages."""
