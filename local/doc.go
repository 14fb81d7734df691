// Package local runs a small cell of stand-ins and entry hosts in one process.
package local
