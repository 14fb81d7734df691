package entry

import (
	"reflect"
	"strings"
)

var (
	ownerFields = fieldsOf(reflect.TypeFor[Owner]())
	workFields  = fieldsOf(reflect.TypeFor[Work]())
	markFields  = fieldsOf(reflect.TypeFor[Mark]())
)

func fieldsOf(t reflect.Type) map[string]bool {
	fields := map[string]bool{}
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = true
	}
	return fields
}
