package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/pflag"
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

// Guards against delays that count from another version, from before the start of a process, or without the calls that failed meanwhile.
func TestDelaysOfConfigurations(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "log")
	line := func(second, host, rest string) string {
		return `{"time":"2026-01-02T03:04:` + second + `Z","host":"` + host + `",` + rest + "}\n"
	}
	c.Assert(os.WriteFile(path, []byte(
		line("01", "a", `"msg":"configuration received","version":1,"via":"direct"`)+line("01", "a", `"msg":"configuration applied","version":1`)+
			line("01", "b", `"msg":"configuration received","version":1,"via":"direct"`)+line("01.5", "b", `"msg":"configuration applied","version":1`)+
			line("02", "a", `"msg":"configuration received","version":3,"via":"direct"`)+line("02.1", "a", `"msg":"configuration applied","version":3`)+
			line("03", "b", `"msg":"following the table failed; retrying","table":"op","error":"cut"`)+
			line("03", "b", `"msg":"following the table failed; retrying","table":"cells","error":"other"`)+
			line("04", "a", `"msg":"host started"`)+
			line("05", "b", `"msg":"configuration received","version":4,"via":"a"`)+line("05.2", "b", `"msg":"configuration applied","version":4`)+
			line("09", "a", `"msg":"configuration received","version":4,"via":"direct"`)+line("09", "a", `"msg":"configuration applied","version":4`),
	), 0o600), qt.IsNil)
	var out bytes.Buffer
	flags := pflag.NewFlagSet("", pflag.ContinueOnError)
	cmdDelays.flags(flags)
	c.Assert(delays(invocation{args: []string{path}, out: &out, flags: flags}), qt.IsNil)
	c.Assert(out.String(), qt.Equals, `3 configurations at hosts, in force  50% within 200ms  90% within 3.2s  99% within 3.2s  100% within 3.2s
3.2s  b  version 3  stored 03:04:02.000  received after 3s via a  failed calls 1, the last one: cut
200ms  b  version 4  stored 03:04:05.000  received after 0s via a  failed calls 0
100ms  a  version 3  stored 03:04:02.000  received after 0s via direct  failed calls 0
`)
}
