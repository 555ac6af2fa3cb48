"""Small fakes of the platform, engines and applications, for development and tests."""
