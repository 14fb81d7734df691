// Package catlog keeps a host's copy of the catalogue up to date and commits operators' edits to the table.
package catlog
