"""Tests of radishcourse, by feature."""

import hypothesis

hypothesis.settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('fixed')
