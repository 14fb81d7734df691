// Package store is a client of the platform's transactional table, its object store and its list of hosts.
package store
