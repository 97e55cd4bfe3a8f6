"""The operators command persimmonreach."""
