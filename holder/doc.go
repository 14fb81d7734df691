// Package holder acquires and renews workers' leases, places tasks on the workers held, and queues or refuses the rest.
package holder
