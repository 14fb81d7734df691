// Package route chooses the entry host that runs a request and carries the request there at most once.
package route
