package capacity_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/capacity"
)

func TestSectionsAreReplacedBetweenMarkers(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "page.md")
	page := "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
	g.Expect(os.WriteFile(path, []byte(page), 0o600)).To(gomega.Succeed())
	g.Expect(capacity.WriteSections(path, []capacity.Section{{Name: "x", Text: "new\n"}})).To(gomega.Succeed())
	data, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(data)).To(gomega.Equal("a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n"))
	g.Expect(capacity.WriteSections(path, []capacity.Section{{Name: "y"}})).NotTo(gomega.Succeed())
}
