// Package shard provides a map whose parts each have a lock of their own.
package shard
