"""OpenAPI and AsyncAPI descriptions, compiled to routes and to the retry policies of service classes.

A balancer imports this package only if its operator's file names descriptions. `reader.compile_paths` reads
and compiles descriptions; `section.DescriptionsSection` keeps a running balancer up to date with them. Only
`reader`, `document_folder`, `operator_rules`, `worker`, `worker_client`, `file_states` and `section` do input
or output.
"""
