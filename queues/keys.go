package queues

import "crypto/sha256"

// Caller says whose jobs a request may see. The zero value is a caller without a team, who sees jobs without a team only.
type Caller struct {
	// Team is the name of the team whose key the request carries; empty if it carries none.
	Team string
	// AnyTeam says that the request may see the jobs of all teams, as on a public queue.
	AnyTeam bool
}

// Sees reports whether the caller may see a job of a team. Jobs without a team are visible to everybody.
func (c Caller) Sees(team string) bool { return c.AnyTeam || team == "" || team == c.Team }

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// KeyTeam returns the team that has a key, or nil. Only digests are compared, so the time that this takes tells nothing about the keys.
func (c *Config) KeyTeam(key string) *Team {
	if key == "" {
		return nil
	}
	return c.lookup().teams[DigestKey(key)]
}
