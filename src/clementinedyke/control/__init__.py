"""What daemons publish to one another and report to operators."""
