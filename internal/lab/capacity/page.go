package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Section is a generated table in a Markdown page.
type Section struct {
	// Name is the name in the markers around the table.
	Name string
	Text string
}

// WriteSections replaces the tables of the page between their markers, the lines
// "<!-- begin NAME -->" and "<!-- end NAME -->".
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
		return "", fmt.Errorf("begin marker %q of a table not found in the page", strings.TrimSpace(begin))
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return "", fmt.Errorf("end marker %q of a table not found in the page", end)
	}
	return before + begin + s.Text + end + after, nil
}
