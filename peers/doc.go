// Package peers tracks the other entry hosts by heartbeats and makes calls to them.
package peers
