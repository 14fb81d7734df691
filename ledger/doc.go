// Package ledger accounts for the allocations on one worker, in every dimension.
package ledger
