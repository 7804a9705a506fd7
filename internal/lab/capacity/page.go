package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Section is a generated table of the page.
type Section struct {
	// Name marks the place of the table in the page.
	Name string
	Text string
}

// WriteSections replaces the tables of a page between its marks, which are the
// lines "<!-- begin NAME -->" and "<!-- end NAME -->".
func WriteSections(path string, sections []Section) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page := string(data)
	for _, s := range sections {
		if page, err = replaceSection(page, s); err != nil {
			return err
		}
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

func replaceSection(page string, s Section) (string, error) {
	begin, end := "<!-- begin "+s.Name+" -->\n", "<!-- end "+s.Name+" -->"
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return "", fmt.Errorf("the page has no line %q", strings.TrimSpace(begin))
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return "", fmt.Errorf("the page has no line %q", end)
	}
	return before + begin + s.Text + end + after, nil
}
