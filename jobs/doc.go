// Package jobs runs accepted jobs to completion and keeps their state in rows of the platform's table.
package jobs
