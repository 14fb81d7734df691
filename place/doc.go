// Package place finds workers with room for a task in time that grows with the logarithm of their number.
package place
