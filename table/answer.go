package table

import (
	"context"
	"fmt"
)

type answerLimitKey struct{}

// WithAnswerLimit returns a context for a call whose answer is read only if take returns true for its size in bytes; otherwise the call fails with
// *AnswerLimitError.
func WithAnswerLimit(ctx context.Context, take func(bytes int) bool) context.Context {
	return context.WithValue(ctx, answerLimitKey{}, take)
}

// AnswerLimit returns the function given to WithAnswerLimit, or nil.
func AnswerLimit(ctx context.Context) func(bytes int) bool {
	take, _ := ctx.Value(answerLimitKey{}).(func(bytes int) bool)
	return take
}

// AnswerLimitError says that the table has answered, but that the answer was not read, since there was no memory for it.
type AnswerLimitError struct {
	Bytes int
}

// Error names the size.
func (e *AnswerLimitError) Error() string {
	return fmt.Sprintf("no memory for a response of %d bytes", e.Bytes)
}
