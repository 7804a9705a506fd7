package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/event"
)

// usage is one call of Log in non-test code.
type usage struct {
	position string
	name     string // name of the event's constant, such as PeerLost
	fields   []string
}

// usages returns the calls of Log under root whose event is a constant of package event.
func usages(t *testing.T, root string) []usage {
	t.Helper()
	var found []usage
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				found = appendUsage(found, files, call)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func appendUsage(found []usage, files *token.FileSet, call *ast.CallExpr) []usage {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Log" || len(call.Args) == 0 {
		return found
	}
	id, ok := call.Args[0].(*ast.SelectorExpr)
	if !ok {
		return found
	}
	if pkg, ok := id.X.(*ast.Ident); !ok || pkg.Name != "event" {
		return found
	}
	u := usage{position: files.Position(call.Pos()).String(), name: id.Sel.Name}
	for i := 1; i < len(call.Args); i += 2 {
		if literal, ok := call.Args[i].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			name, _ := strconv.Unquote(literal.Value)
			u.fields = append(u.fields, name)
		}
	}
	return append(found, u)
}

// snakeCase returns the event name in the catalogue for the name of a constant.
func snakeCase(constant string) string {
	var b strings.Builder
	for i, r := range constant {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteString(strings.ToLower(string(r)))
	}
	return b.String()
}

func TestLoggedFieldsAreInTheCatalogue(t *testing.T) {
	g := gomega.NewWithT(t)
	fields := map[string][]string{}
	for _, d := range event.Catalogue() {
		fields[d.Name] = d.Fields
	}
	all := append(usages(t, "../../internal"), usages(t, "../../cmd")...)
	g.Expect(len(all)).To(gomega.BeNumerically(">", 20), "the search must find the calls of Log")
	for _, u := range all {
		known, ok := fields[snakeCase(u.name)]
		g.Expect(ok).To(gomega.BeTrue(), "%s: the name of %s differs from its constant", u.position, u.name)
		for _, field := range u.fields {
			if !slices.Contains(known, field) {
				t.Errorf("%s: %s has no field %q", u.position, u.name, field)
			}
		}
	}
}

// TestEveryCatalogueEventIsUsed checks that each event of the catalogue is used in non-test
// code.
func TestEveryCatalogueEventIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	used := map[string]bool{}
	files := token.NewFileSet()
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if pkg, ok := s.X.(*ast.Ident); ok && pkg.Name == "event" {
					used[snakeCase(s.Sel.Name)] = true
				}
			}
			return true
		})
		return nil
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, d := range event.Catalogue() {
		g.Expect(used).To(gomega.HaveKey(d.Name), "event %d", d.ID)
	}
}
