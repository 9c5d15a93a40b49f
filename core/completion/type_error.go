package completion

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
)

// typeError returns a fault that names the field that couldn't be decoded, the type
// that it must have and the type that it has.
func typeError(err error) *fault.Error {
	var t *json.UnmarshalTypeError
	if !errors.As(err, &t) {
		return fault.Newf(fault.BadRequest, step, "", "%v", err)
	}
	return fault.Newf(fault.BadRequest, step, "", "%s must be %s, not %s", t.Field, jsonType(t.Type), t.Value)
}

// jsonType returns the JSON type, with its article, that decodes into t.
func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return jsonType(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "an array"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}
