// Package front serves callers and operators over HTTP.
package front
