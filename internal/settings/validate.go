package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

var tagValidator = newTagValidator()

func newTagValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	return v
}

// validate checks the rules in the validate tags of a struct.
func (d *document) validate(v any) error {
	return d.firstError(checkTags(v))
}

func checkTags(v any) problems {
	err := tagValidator.Struct(v)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return problems{{Message: err.Error()}}
	}
	var found problems
	for _, f := range violations {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		found.addf(path, "%s", describeViolation(f))
	}
	return found
}

// describeViolation returns the error message for a rule that a value violates.
func describeViolation(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return requiredMessage(f)
	case "min", "gte":
		return "must be at least " + formatBound(f)
	case "max", "lte":
		return "must be at most " + formatBound(f)
	case "gt":
		return "must be above " + formatBound(f)
	case "lt":
		return "must be below " + formatBound(f)
	case "len":
		return "must have " + f.Param() + boundUnit(f)
	case "oneof":
		return fmt.Sprintf("%q is not one of: %s", f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	case "hostname_port":
		return fmt.Sprintf("%q is not an address of the form host:port", f.Value())
	case "cidr":
		return fmt.Sprintf("%q is not an address block such as 10.0.0.0/24", f.Value())
	default:
		return "violates the rule " + f.Tag()
	}
}

func requiredMessage(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.Int, reflect.Int64, reflect.Float64:
		return "a value above 0 is required"
	default:
		return "a value is required"
	}
}

func formatBound(f validator.FieldError) string {
	if f.Type() == durationType {
		return formatDurationBound(f.Param())
	}
	return f.Param() + boundUnit(f)
}

// boundUnit returns the unit of a length bound, or "" for a numeric one.
func boundUnit(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.String:
		return " characters"
	case reflect.Slice:
		return " items"
	default:
		return ""
	}
}

func formatDurationBound(nanoseconds string) string {
	d, err := time.ParseDuration(nanoseconds + "ns")
	if err != nil {
		return nanoseconds
	}
	return d.String()
}
