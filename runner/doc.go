// Package runner executes the decisions of a group's scheduler: it holds the group's lease, polls workers, sends orders and
// stores the progress of jobs.
package runner
