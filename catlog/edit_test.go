package catlog_test

import (
	"context"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/catlog"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/store"
)

// silentTable answers reads and no commits.
type silentTable struct {
	*fakes.PlatformClient
}

func (silentTable) Commit(context.Context, store.Tx) (uint64, error) {
	return 0, &store.UnavailableError{Op: "commit", Err: errors.New("no answer")}
}

// Guards against reporting an edit as rejected whose last attempt was not answered and may still take effect.
func TestUnansweredEditIsUncertain(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	table := silentTable{fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond).NewClient()}
	keeper := catlog.NewKeeper(table, nil, log, func(*entry.Catalogue) {})
	_, err := keeper.Apply(context.Background(), catlog.Edit{
		ID: "e", Key: "owner/desk", Doc: []byte(`{"kind":"owner","name":"desk"}`),
	})
	var uncertain *catlog.UncertainError
	c.Assert(errors.As(err, &uncertain), qt.IsTrue, qt.Commentf("%v", err))
}
