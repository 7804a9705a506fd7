package settings

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// keyDoc holds the documented properties of one key, a row of docs/SETTINGS.md.
type keyDoc struct {
	typeOrUnit   string
	defaultValue string
	bounds       string
}

// rowPattern matches | `key` | unit | default | bounds | meaning |.
var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*) \\| ([^|]+) \\|$")

// pageSections maps the headings of the page to the structs that they document.
var pageSections = []struct {
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
	for _, section := range pageSections {
		t.Run(section.heading, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, text, ok := strings.Cut(string(page), section.heading+"\n")
			g.Expect(ok).To(gomega.BeTrue(), "docs/SETTINGS.md has no such section")
			text, _, _ = strings.Cut(text, "\n## ")
			found := make(map[string]keyDoc)
			for _, m := range rowPattern.FindAllStringSubmatch(text, -1) {
				found[m[1]] = keyDoc{m[2], m[3], m[4]}
			}
			want := make(map[string]keyDoc)
			collectKeys(section.of, "", want)
			for key, row := range want {
				g.Expect(found).To(gomega.HaveKey(key))
				g.Expect(found[key].defaultValue).To(gomega.Equal(row.defaultValue), "default of %s", key)
				g.Expect(found[key].bounds).To(gomega.Equal(row.bounds), "bounds of %s", key)
				g.Expect(found[key].typeOrUnit).To(gomega.MatchRegexp(row.typeOrUnit), "type or unit of %s", key)
			}
			for key := range found {
				g.Expect(want).To(gomega.HaveKey(key), "the page documents a key that the struct does not have")
			}
		})
	}
}

// collectKeys adds the expected row of each key of a struct, nested ones included.
func collectKeys(t reflect.Type, prefix string, rows map[string]keyDoc) {
	for i := range t.NumField() {
		field := t.Field(i)
		key := prefix + yamlKey(field)
		inner := field.Type
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			key += "[]"
			inner = inner.Elem()
		}
		rows[key] = keyDoc{typeOrUnitPattern(field.Type), documentedDefault(field), documentedBounds(field)}
		if inner.Kind() == reflect.Struct {
			collectKeys(inner, key+".", rows)
		}
	}
}

// typeOrUnitPattern returns a pattern for the type column; for numbers the column
// must name a known unit.
func typeOrUnitPattern(t reflect.Type) string {
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

func documentedDefault(field reflect.StructField) string {
	if text, ok := field.Tag.Lookup("default"); ok {
		return text
	}
	if isRequired(field) {
		return "required"
	}
	switch field.Type.Kind() {
	case reflect.Slice, reflect.Map, reflect.Struct:
		return "empty"
	default:
		return "0"
	}
}

// isRequired reports whether the zero value of a field violates its validate tag
// or, for a struct, that of a field without a default.
func isRequired(field reflect.StructField) bool {
	if field.Type.Kind() != reflect.Struct {
		tag := field.Tag.Get("validate")
		return tagValidator.Var(reflect.Zero(field.Type).Interface(), strings.TrimSuffix(tag, ",dive")) != nil
	}
	for i := range field.Type.NumField() {
		inner := field.Type.Field(i)
		if _, ok := inner.Tag.Lookup("default"); !ok && isRequired(inner) {
			return true
		}
	}
	return false
}

// documentedBounds returns the rules of a validate tag as the page words them.
func documentedBounds(field reflect.StructField) string {
	var bounds []string
	for rule := range strings.SplitSeq(field.Tag.Get("validate"), ",") {
		name, param, _ := strings.Cut(rule, "=")
		if field.Type == durationType {
			param = formatDurationBound(param)
		}
		switch name {
		case "min", "gte":
			bounds = append(bounds, "at least "+param)
		case "max", "lte":
			bounds = append(bounds, "at most "+param)
		case "gt":
			bounds = append(bounds, "above "+param)
		case "lt":
			bounds = append(bounds, "below "+param)
		case "len":
			bounds = append(bounds, "exactly "+param)
		case "oneof":
			bounds = append(bounds, "one of "+strings.ReplaceAll(param, " ", ", "))
		case "cidr":
			bounds = append(bounds, "an address block")
		case "hexadecimal":
			bounds = append(bounds, "hexadecimal")
		}
	}
	if len(bounds) == 0 {
		return "any"
	}
	return strings.Join(bounds, ", ")
}
