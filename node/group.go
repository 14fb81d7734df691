package node

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"
)

// group runs the components of a host; when one of them fails, all are stopped.
type group struct {
	eg     *errgroup.Group
	ctx    context.Context
	failed chan error
}

func newGroup(ctx context.Context) *group {
	eg, ctx := errgroup.WithContext(ctx)
	return &group{eg: eg, ctx: ctx, failed: make(chan error, 1)}
}

// Go starts a component, which runs until the group's context is done.
func (g *group) Go(name string, run func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := run(g.ctx)
		if err == nil || errors.Is(err, context.Canceled) {
			return nil
		}
		err = fmt.Errorf("%s: %w", name, err)
		select {
		case g.failed <- err:
		default:
		}
		return err
	})
}

// Wait waits until all components have returned.
func (g *group) Wait() error { return g.eg.Wait() }
