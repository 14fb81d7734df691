// Package budget divides what a host can hold between large and small holders.
package budget
