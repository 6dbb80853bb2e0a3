"""The data plane: admission, attempts at backends, HTTP handlers, and reports to the control plane."""
