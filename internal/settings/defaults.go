package settings

import (
	"reflect"
	"strconv"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// setDefaults sets the fields of a struct, and of structs within it, to the
// values in their default tags.
func setDefaults(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Field(i)
		if field.Kind() == reflect.Struct {
			setDefaults(field)
			continue
		}
		if text, ok := v.Type().Field(i).Tag.Lookup("default"); ok {
			setDefault(field, text)
		}
	}
}

// setDefault sets a field to the value of its default tag. It panics when the
// value cannot be parsed as the field's type.
func setDefault(field reflect.Value, text string) {
	if field.Type() == durationType {
		field.SetInt(int64(must(time.ParseDuration(text))))
		return
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int, reflect.Int64:
		field.SetInt(must(strconv.ParseInt(text, 10, 64)))
	case reflect.Float64:
		field.SetFloat(must(strconv.ParseFloat(text, 64)))
	default:
		panic("settings: default tags are not supported on fields of type " + field.Type().String())
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic("settings: " + err.Error())
	}
	return v
}
