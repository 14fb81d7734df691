// Package ledger accounts for what one worker carries, in every dimension.
package ledger
