namespace anvilridge {}
