package catlog_test

import (
	"fmt"
	"testing"

	"github.com/corianderdrift/corianderdrift/entry"
)

func BenchmarkLookup(b *testing.B) {
	for _, owners := range []int{17, 170, 1700} {
		b.Run(fmt.Sprintf("%d owners", owners), func(b *testing.B) {
			var docs []entry.Document
			for i := range owners {
				name := fmt.Sprint("team-", i)
				docs = append(docs, entry.Document{Key: "owner/" + name, Raw: fmt.Appendf(nil, `{"kind":"owner","name":%q}`, name)})
				docs = append(docs, entry.Document{Key: "work/" + name, Raw: fmt.Appendf(nil, `{"kind":"work","name":%q,"owner":%q,"class":"request","size":{"cpu-milli":1,"memory-mib":1}}`, name, name)})
			}
			c, err := entry.NewCatalogue(1, docs)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := c.Work("team-7"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
