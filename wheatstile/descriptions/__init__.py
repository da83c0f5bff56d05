"""OpenAPI and AsyncAPI descriptions, compiled to routes and to the service classes' retry safety.

Loaded only if the operator's file names descriptions. `reader.compile_paths` reads and compiles them;
`section.DescriptionsSection` keeps a running balancer up to date with them. Only `reader`, `document_folder`,
`operator_rules`, `worker`, `worker_client`, `file_states`, `section` and `graph` do input or output.
"""
