// Package table defines what the product needs of a transactional table, and follows its changes.
package table
