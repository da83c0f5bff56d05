"""Compiles OpenAPI and AsyncAPI descriptions to routes and to the retry policies of service classes.

The balancer imports this package only if the operator's file lists descriptions. `reader.compile_paths` reads
and compiles descriptions. `section.DescriptionsSection` applies changed descriptions to a running balancer.
Only the modules `reader`, `document_directory`, `operator_rules`, `worker`, `worker_client`, `file_states`
and `section` perform I/O.
"""
