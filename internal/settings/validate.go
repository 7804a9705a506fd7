package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	return v
}

// validate checks the bounds that stand in the validate tags.
func (d *document) validate(v any) error {
	return d.fail(checkTags(v))
}

func checkTags(v any) problems {
	err := checker.Struct(v)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return problems{{Message: err.Error()}}
	}
	var found problems
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		found.addf(path, "%s", describe(f))
	}
	return found
}

// describe says in words which bound a value breaks.
func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return requirement(f)
	case "min", "gte":
		return "must be at least " + bound(f)
	case "max", "lte":
		return "must be at most " + bound(f)
	case "gt":
		return "must be above " + bound(f)
	case "lt":
		return "must be below " + bound(f)
	case "len":
		return "must have " + f.Param() + unit(f)
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "hostname_port":
		return fmt.Sprintf("%q is not an address of the form host:port", f.Value())
	case "cidr":
		return fmt.Sprintf("%q is not an address block such as 10.0.0.0/24", f.Value())
	default:
		return "breaks the rule " + f.Tag()
	}
}

func requirement(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.Int, reflect.Int64, reflect.Float64:
		return "a value above 0 is required"
	default:
		return "a value is required"
	}
}

func bound(f validator.FieldError) string {
	if f.Type() == durationType {
		return durationBound(f.Param())
	}
	return f.Param() + unit(f)
}

// unit names what a bound of the field's type counts.
func unit(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.String:
		return " characters"
	case reflect.Slice:
		return " items"
	default:
		return ""
	}
}

func durationBound(nanoseconds string) string {
	d, err := time.ParseDuration(nanoseconds + "ns")
	if err != nil {
		return nanoseconds
	}
	return d.String()
}
