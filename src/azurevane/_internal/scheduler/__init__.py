"""Scheduler of a site: places tasks, leads the site and keeps job states."""
