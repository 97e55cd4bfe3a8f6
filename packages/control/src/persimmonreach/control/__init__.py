"""gRPC service for operators."""
