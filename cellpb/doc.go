// Package cellpb contains the gRPC API between hosts that schedule groups of workers, generated from cell.proto and rows.proto.
package cellpb
