// Package cell decides which task of which job runs on which worker of a group, in memory and without network access.
package cell
