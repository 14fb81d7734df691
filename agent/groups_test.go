package agent

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/platform"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

const service = "desk"

// bareAgent returns a host that serves nobody and follows nothing.
func bareAgent(name string) *Agent {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &Agent{settings: platform.Settings{Name: name}, log: log, leases: elect.NewBook(), hosts: newHosts(name, "here")}
	a.groups = newGroups(a)
	return a
}

// Pattern: only the part of the table that holds a group's lease is away. Nobody sees the renewals of a holder that lives.
func TestASilentHolderIsAskedBeforeItIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name    string
		token   uint64
		silent  time.Duration
		leaving bool
		gone    bool
		want    bool
	}{
		{"still runs the group", 1, 3 * time.Second, false, false, true},
		{"runs it under another token", 2, 3 * time.Second, false, false, false},
		{"is stopping", 1, 3 * time.Second, true, false, false},
		{"is gone", 1, 3 * time.Second, false, true, false},
		{"has been silent for too long", 1, time.Minute, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			holder, asker := bareAgent("holder"), bareAgent("asker")
			c.Cleanup(asker.hosts.close)
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			rows := fakes.NewRows()
			epoch, err := elect.Take(ctx, rows, elect.Epoch{Part: service}, elect.Taker{
				Name: "holder", Address: netip.MustParseAddrPort(l.Addr().String()),
			})
			c.Assert(err, qt.IsNil)
			page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: service})
			c.Assert(err, qt.IsNil)
			c.Assert(asker.leases.Apply(page.Rows, time.Now().Add(-test.silent)), qt.IsNil)
			holder.groups.running[service] = runner.New(runner.Config{
				Epoch: elect.Epoch{Part: service, Token: test.token}, Log: holder.log,
			})
			holder.leaving.Store(test.leaving)
			server := grpc.NewServer()
			cellpb.RegisterCellsServer(server, &peerServer{a: holder})
			if test.gone {
				c.Assert(l.Close(), qt.IsNil)
			} else {
				go func() { _ = server.Serve(l) }()
				c.Cleanup(server.Stop)
			}
			c.Assert(asker.groups.holderLives(ctx, epoch), qt.Equals, test.want)
		})
	}
}
