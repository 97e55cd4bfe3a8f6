"""The long-running process persimmonreachd."""
