"""Steps of a build: dependencies that fit the machine, and the interpreter that the roles run on."""
