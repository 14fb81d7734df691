// Package table defines the interface of the transactional table that the scheduler stores its state in, and follows changes of
// its rows.
package table
