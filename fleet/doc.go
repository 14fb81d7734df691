// Package fleet reaches the holders of workers in all data centres on behalf of jobs.
package fleet
