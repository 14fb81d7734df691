package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExplainFollowsJobAcrossHosts(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	a := write("a.log", `{"time":"T1","host":"a","msg":"call done","job":"j1","op":"submit"}
noise
  12.5 a {"time":"T4","host":"a","msg":"call done","job":"j2"}
`)
	b := write("b.log", `{"time":"T2","host":"b","msg":"run placed","job":"j1","worker":"w1","run":1}
{"time":"T3","host":"b","msg":"worker does not answer","worker":"w1"}
{"time":"T3","host":"b","msg":"worker does not answer","worker":"w2"}
{"time":"T5","host":"b","msg":"job over","job":"j1","state":"completed"}
{"time":"T6","host":"b","msg":"worker answers again","worker":"w1"}
`)
	var out bytes.Buffer
	c.Assert(explain(invocation{args: []string{"j1", a, b}, out: &out}), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 4)
	c.Assert(strings.Contains(lines[0], "call done op=submit"), qt.IsTrue)
	c.Assert(strings.Contains(lines[1], "run placed run=1 worker=w1"), qt.IsTrue)
	c.Assert(strings.HasPrefix(lines[2], "+"), qt.IsTrue)
	c.Assert(explain(invocation{args: []string{"none", a}, out: &out}), qt.ErrorMatches, "no line concerns job none")
}
