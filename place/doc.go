// Package place finds and scores workers with enough free capacity for a task, in time logarithmic in their number.
package place
