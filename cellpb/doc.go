// Package cellpb holds the messages between hosts that run groups of workers, generated from cell.proto and rows.proto.
package cellpb
