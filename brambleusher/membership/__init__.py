"""Who else is there: partial views, failure detection, size estimates."""
