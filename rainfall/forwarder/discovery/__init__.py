"""Discovery: the watch of the endpoint list, and notifications to the platform."""
