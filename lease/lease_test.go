package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/lease"
)

func TestLeaseDurationStartsAtSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var l lease.Lease
		boot := time.Now().Add(-time.Hour)
		_, ok := l.Valid(time.Since(boot))
		c.Check(ok, qt.IsFalse)

		sentAt := time.Since(boot)
		// The reply is late: the worker may have started the TTL at any time after the request was sent.
		time.Sleep(2 * time.Second)
		l.Granted(7, sentAt, 3*time.Second)
		epoch, ok := l.Valid(time.Since(boot))
		c.Check(epoch, qt.Equals, uint64(7))
		c.Check(ok, qt.IsTrue)
		time.Sleep(time.Second - lease.Margin)
		_, ok = l.Valid(time.Since(boot))
		c.Check(ok, qt.IsFalse, qt.Commentf("valid although it may have expired on the worker"))
		c.Check(l.Remaining(time.Since(boot)), qt.Equals, time.Duration(0))
	})
}

func TestLostLeaseIsInvalid(t *testing.T) {
	c := qt.New(t)
	var l lease.Lease
	const now = time.Minute
	l.Granted(1, now, time.Hour)
	l.Lost()
	_, ok := l.Valid(now)
	c.Check(ok, qt.IsFalse)
}
