// Package entry holds the catalogue's documents, their checks, and one immutable version of them all.
package entry
