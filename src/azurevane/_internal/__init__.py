"""Implementation of azurevane; nothing here is a public interface."""
