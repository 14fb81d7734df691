package front

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/reason"
)

func TestParseTimeout(t *testing.T) {
	tests := []struct {
		text    string
		want    time.Duration
		wantErr bool
	}{
		{"", time.Minute, false},
		{"1.5s", 1500 * time.Millisecond, false},
		{"2", 2 * time.Second, false},
		{"0.25", 250 * time.Millisecond, false},
		{"0", 0, true},
		{"-1s", 0, true},
		{"NaN", 0, true},
		{"1e300", 0, true},
		{"25h", 0, true},
		{"soon", 0, true},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			c := qt.New(t)
			got, err := parseTimeout(test.text, time.Minute)
			c.Check(err != nil, qt.Equals, test.wantErr, qt.Commentf("%v", err))
			if !test.wantErr {
				c.Check(got, qt.Equals, test.want)
			}
		})
	}
}

func FuzzHeaders(f *testing.F) {
	f.Add("1.5s", "key-1")
	f.Add("9e9", "a/b")
	f.Add("-0", strings.Repeat("k", 300))
	f.Fuzz(func(t *testing.T, timeout, key string) {
		got, err := parseTimeout(timeout, time.Second)
		if err == nil && (got <= 0 || got > maxTimeout) {
			t.Fatalf("%q is %s", timeout, got)
		}
		if err != nil && !reason.Is(err, reason.BadRequest) {
			t.Fatalf("%v", err)
		}
		if checkKey(key, entry.Work{Class: entry.Request}) == nil && (key == "" || strings.ContainsAny(key, "/ \n\x00")) {
			t.Fatalf("key %q was accepted", key)
		}
	})
}
