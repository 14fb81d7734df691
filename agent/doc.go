// Package agent is one entry host that takes jobs and runs groups of workers: its parts, their start and their stop.
package agent
