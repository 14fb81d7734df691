// Package fleet calls the lease holders of workers in all data centres on behalf of jobs.
package fleet
