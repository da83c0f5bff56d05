"""OpenAPI and AsyncAPI descriptions: read, checked, compiled to routes and to what may be repeated.

Pure but for the reader. Off unless the operator's file names any; nothing of it is imported then.
"""
