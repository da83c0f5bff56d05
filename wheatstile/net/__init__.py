"""Network code of the balancer: the decision loop, and connections to clients, servers and discovery."""
