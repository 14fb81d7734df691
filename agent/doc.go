// Package agent implements an entry host, which accepts jobs, schedules groups of workers and shares the table with other hosts.
package agent
