// Package route chooses the entry host that runs a request and forwards it so that it runs at most once.
package route
