//! Checked JSON settings.
