package entry

import (
	"reflect"
	"strings"
)

var (
	ownerFields  = jsonFields(reflect.TypeFor[Owner]())
	workFields   = jsonFields(reflect.TypeFor[Work]())
	workerFields = jsonFields(reflect.TypeFor[Worker]())
)

func jsonFields(t reflect.Type) map[string]bool {
	fields := map[string]bool{}
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = true
	}
	return fields
}
