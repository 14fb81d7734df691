// Package jobs drives accepted jobs to their end, from rows in the platform's table.
package jobs
