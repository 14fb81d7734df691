// Package bench measures the scheduling policy against a plain baseline on small cells.
package bench
