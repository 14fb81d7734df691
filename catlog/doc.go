// Package catlog keeps the accepted catalogue in force on a host and carries operators' edits to the table.
package catlog
