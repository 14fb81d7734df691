// Package quota splits owners' quotas into shares of hosts, by rows in the platform's table, so that no sum of shares exceeds a quota.
package quota
