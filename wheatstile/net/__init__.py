"""The balancer's sockets: a decision loop that knows no protocol, and modules for each kind of peer."""
