// Package conf reads and validates the settings of an entry host from flags and environment variables.
package conf
