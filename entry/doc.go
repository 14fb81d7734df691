// Package entry defines the catalogue's documents, validates them and holds immutable versions of the catalogue.
package entry
