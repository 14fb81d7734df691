// Package store speaks to the platform: its transactional table, its object store and its list of hosts.
package store
