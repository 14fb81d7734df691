package table

import "context"

type answerLimitKey struct{}

// WithAnswerLimit returns a context for a call whose answer is read only if take returns true for its size in bytes; otherwise the call fails with
// *UnansweredError.
func WithAnswerLimit(ctx context.Context, take func(bytes int) bool) context.Context {
	return context.WithValue(ctx, answerLimitKey{}, take)
}

// AnswerLimit returns the function given to WithAnswerLimit, or nil.
func AnswerLimit(ctx context.Context) func(bytes int) bool {
	take, _ := ctx.Value(answerLimitKey{}).(func(bytes int) bool)
	return take
}
