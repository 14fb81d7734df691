// Package quota divides each owner's quota into host shares through rows in the platform's table, so that no sum of shares exceeds a quota.
package quota
