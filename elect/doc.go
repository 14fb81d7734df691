// Package elect elects the host that runs each group of workers, by leases stored in the table.
package elect
