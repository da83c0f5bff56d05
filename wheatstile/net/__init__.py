"""The real balancer's sockets: a core that knows no protocol text, and a module for each kind of peer."""
