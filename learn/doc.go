// Package learn estimates from past runs how long work runs, how much it takes and how often it fails.
package learn
