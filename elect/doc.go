// Package elect elects the host that runs each group of workers, by leases stored in the table.
//
// Beside the lease, a holder stores which workers' leases it does not renew, since they don't answer. If it dies, the next one knows until when
// runs may be active there, and need not wait for orders that the holder might have sent. So a holder must not send an order that renews the
// leases of a worker in a record that is stored, or may be; until it has stored its own, that applies to the workers that it has inherited with
// the lease.
package elect
