// Package peerpb contains the gRPC API between entry hosts, generated from peer.proto.
package peerpb
