package settings

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// documented is a row of docs/SETTINGS.md: a key with its type or unit, its
// default and its bounds.
type documented struct {
	unit     string
	fallback string
	bounds   string
}

// rowPattern matches | `key` | unit | default | bounds | meaning |.
var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*) \\| ([^|]+) \\|$")

// sections are the parts of the page and the structs that they describe.
var sections = []struct {
	heading string
	of      reflect.Type
}{
	{"## Settings file", reflect.TypeFor[Settings]()},
	{"## Topology file", reflect.TypeFor[Topology]()},
	{"## Preset file", reflect.TypeFor[Preset]()},
	{"## Operators file", reflect.TypeFor[Operator]()},
}

func TestEachKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range sections {
		t.Run(section.heading, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, text, ok := strings.Cut(string(page), section.heading+"\n")
			g.Expect(ok).To(gomega.BeTrue(), "the section is missing")
			text, _, _ = strings.Cut(text, "\n## ")
			found := make(map[string]documented)
			for _, m := range rowPattern.FindAllStringSubmatch(text, -1) {
				found[m[1]] = documented{m[2], m[3], m[4]}
			}
			want := make(map[string]documented)
			collect(section.of, "", want)
			for key, row := range want {
				g.Expect(found).To(gomega.HaveKey(key))
				g.Expect(found[key].fallback).To(gomega.Equal(row.fallback), "default of %s", key)
				g.Expect(found[key].bounds).To(gomega.Equal(row.bounds), "bounds of %s", key)
				g.Expect(found[key].unit).To(gomega.MatchRegexp(row.unit), "type or unit of %s", key)
			}
			for key := range found {
				g.Expect(want).To(gomega.HaveKey(key), "there is no such key")
			}
		})
	}
}

// collect adds the rows of all keys of a struct.
func collect(t reflect.Type, prefix string, rows map[string]documented) {
	for i := range t.NumField() {
		field := t.Field(i)
		key := prefix + yamlKey(field)
		inner := field.Type
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			key += "[]"
			inner = inner.Elem()
		}
		rows[key] = documented{unitOf(field.Type), fallbackOf(field), boundsOf(field)}
		if inner.Kind() == reflect.Struct {
			collect(inner, key+".", rows)
		}
	}
}

// unitOf returns a pattern: numbers must have a unit that fits.
func unitOf(t reflect.Type) string {
	switch {
	case t == durationType:
		return "^duration$"
	case t.Kind() == reflect.String:
		return "^(text|file|host:port)$"
	case t.Kind() == reflect.Slice:
		return "^list"
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return "^mapping$"
	default:
		return "^(bytes|fraction|quantile|requests|requests/s|Mbit/s|ms|keys)$"
	}
}

func fallbackOf(field reflect.StructField) string {
	if text, ok := field.Tag.Lookup("default"); ok {
		return text
	}
	if mustBeSet(field) {
		return "required"
	}
	switch field.Type.Kind() {
	case reflect.Slice, reflect.Map, reflect.Struct:
		return "empty"
	default:
		return "0"
	}
}

// mustBeSet reports whether the zero value breaks the rules of a field.
func mustBeSet(field reflect.StructField) bool {
	if field.Type.Kind() != reflect.Struct {
		tag := field.Tag.Get("validate")
		return checker.Var(reflect.Zero(field.Type).Interface(), strings.TrimSuffix(tag, ",dive")) != nil
	}
	for i := range field.Type.NumField() {
		inner := field.Type.Field(i)
		if _, ok := inner.Tag.Lookup("default"); !ok && mustBeSet(inner) {
			return true
		}
	}
	return false
}

// boundsOf words the rules of a validate tag.
func boundsOf(field reflect.StructField) string {
	var words []string
	for rule := range strings.SplitSeq(field.Tag.Get("validate"), ",") {
		name, param, _ := strings.Cut(rule, "=")
		if field.Type == durationType {
			param = durationBound(param)
		}
		switch name {
		case "min", "gte":
			words = append(words, "at least "+param)
		case "max", "lte":
			words = append(words, "at most "+param)
		case "gt":
			words = append(words, "above "+param)
		case "lt":
			words = append(words, "below "+param)
		case "len":
			words = append(words, "exactly "+param)
		case "oneof":
			words = append(words, "one of "+strings.ReplaceAll(param, " ", ", "))
		case "cidr":
			words = append(words, "an address block")
		case "hexadecimal":
			words = append(words, "hexadecimal")
		}
	}
	if len(words) == 0 {
		return "any"
	}
	return strings.Join(words, ", ")
}
