package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// checkDurations checks the syntax of all durations before the file is decoded,
// because the decoder's errors do not include their position.
func (d *document) checkDurations(tree *ast.File, t reflect.Type) error {
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		if err := d.checkNodeDurations(doc.Body, t); err != nil {
			return err
		}
	}
	return nil
}

func (d *document) checkNodeDurations(node ast.Node, t reflect.Type) error {
	switch {
	case t == durationType:
		return d.checkDuration(node)
	case t.Kind() == reflect.Slice:
		return d.checkSequenceDurations(node, t.Elem())
	case t.Kind() == reflect.Struct:
		return d.checkMappingDurations(node, t)
	default:
		return nil
	}
}

func (d *document) checkSequenceDurations(node ast.Node, t reflect.Type) error {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		return nil
	}
	for _, value := range seq.Values {
		if err := d.checkNodeDurations(value, t); err != nil {
			return err
		}
	}
	return nil
}

func (d *document) checkMappingDurations(node ast.Node, t reflect.Type) error {
	m, ok := node.(ast.MapNode)
	if !ok {
		return nil
	}
	for it := m.MapRange(); it.Next(); {
		field, ok := fieldByKey(t, it.Key().String())
		if !ok {
			continue
		}
		if err := d.checkNodeDurations(it.Value(), field.Type); err != nil {
			return err
		}
	}
	return nil
}

func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if yamlKey(t.Field(i)) == key {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}

func (d *document) checkDuration(node ast.Node) error {
	tk := node.GetToken()
	if _, err := time.ParseDuration(tk.Value); err != nil {
		message := fmt.Sprintf("%q is not a duration such as 1500ms or 2s", tk.Value)
		return d.errorAtToken(tk, message)
	}
	return nil
}
