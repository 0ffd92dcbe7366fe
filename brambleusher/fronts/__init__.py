"""Protocol front ends beside HTTP, each in a package of its own."""
