"""Discovery: the watch on the endpoint list, and notifications to the platform."""
