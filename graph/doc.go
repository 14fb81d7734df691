// Package graph defines jobs as graphs of dependent steps, and the stored progress of their tasks.
package graph
