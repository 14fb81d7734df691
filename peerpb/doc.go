// Package peerpb holds the messages between entry hosts, generated from peer.proto.
package peerpb
