// Package shard provides a map for concurrent use that is split into shards, each with its own lock.
package shard
