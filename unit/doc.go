// Package unit holds the sizes of work and of workers.
package unit
