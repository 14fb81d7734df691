package lines_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/lines"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.got.Write(p)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := lines.NewWriter(out)
	for range 10000 {
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	close(out.release)
	c.Assert(w.Close(), qt.IsNil)
	dropped := int(w.Dropped())
	c.Assert(dropped > 0, qt.IsTrue)
	c.Assert(strings.Count(out.got.String(), "line\n")+dropped, qt.Equals, 10000)
}

func TestSuppressedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		log.SetFormatter(&lines.Budget{Formatter: &logrus.JSONFormatter{}})
		for range 1000 {
			log.Info("run placed")
		}
		log.Info("host started")
		time.Sleep(2 * time.Second)
		log.Info("run placed")
		text := out.String()
		c.Assert(strings.Count(text, `"msg":"run placed"`), qt.Equals, 401)
		c.Assert(strings.Contains(text, `"msg":"lines left out","run placed":600`), qt.IsTrue)
		c.Assert(strings.Contains(text, "host started"), qt.IsTrue)
	})
}
