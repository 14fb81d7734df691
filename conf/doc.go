// Package conf reads and checks the settings of an entry host from flags and environment variables.
package conf
