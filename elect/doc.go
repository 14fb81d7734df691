// Package elect settles by rows of the table which host runs a group of workers.
package elect
