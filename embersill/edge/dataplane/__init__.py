"""From clients to backends: decisions, handlers of connections, and what they tell the control side."""
