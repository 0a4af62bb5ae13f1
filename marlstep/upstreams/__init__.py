"""The client of uwsgi servers: a backend that does its work by forwarding requests to pools of servers."""
