// Package peers knows the other entry hosts by heartbeats and carries calls to them.
package peers
