package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/store"
)

func TestCallsUseOneConnection(t *testing.T) {
	c := qt.New(t)
	var conns atomic.Int32
	server := httptest.NewUnstartedServer(fakes.NewPlatform(100000, 100000).Handler())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := store.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), &net.Dialer{}, nil)
	defer client.Close()
	ctx := context.Background()
	for i := range 40 {
		value, _ := json.Marshal(make([]int, 200))
		_, err := client.Commit(ctx, store.Tx{Writes: []store.Write{{Key: fmt.Sprintf("row/%d", i), Value: value}}})
		c.Assert(err, qt.IsNil)
		_, err = client.Read(ctx, store.Query{Prefixes: []string{"row/"}})
		c.Assert(err, qt.IsNil)
	}
	c.Check(conns.Load(), qt.Equals, int32(1))
}
