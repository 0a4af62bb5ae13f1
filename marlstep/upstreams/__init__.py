"""The uwsgi client: a backend that forwards requests to pools of uwsgi servers."""
