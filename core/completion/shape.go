package completion

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
)

// wrongShape says of a field that can't be read what it should hold.
func wrongShape(err error) *fault.Error {
	var t *json.UnmarshalTypeError
	if !errors.As(err, &t) {
		return fault.Newf(fault.BadRequest, step, "", "%v", err)
	}
	return fault.Newf(fault.BadRequest, step, "", "%s must be %s, not %s", t.Field, shape(t.Type), t.Value)
}

// shape names a type in the words of JSON.
func shape(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return shape(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
