// Package local runs a small cell of entry hosts, fake workers and a fake platform in one process.
package local
