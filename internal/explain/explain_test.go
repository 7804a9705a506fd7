package explain_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/explain"
)

func TestFindReadsLogfmtAndJSON(t *testing.T) {
	g := gomega.NewWithT(t)
	log := strings.Join([]string{
		`time=2026-01-01T00:00:02Z level=info msg="request was not served" event=722 name=request_failed request=q1 attempts="a: \"x\"; b"`,
		`  1.5 node-1 time=2026-01-01T00:00:01Z level=info msg=m event=724 name=attempt_failed request=q1 upstream=u`,
		`{"time":"2026-01-01T00:00:03Z","event":728,"name":"request_late","request":"q1","status":200}`,
		`time=2026-01-01T00:00:02Z event=722 name=request_failed request=q12`,
		`panic: q1`,
		`time=broken event=722 name=request_failed request=q1`,
		`time=2026-01-01T00:00:02Z name=x request=q1 rest="not closed`,
	}, "\n")
	lines, err := explain.Find(strings.NewReader(log), "f", "q1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	explain.Sort(lines)
	var events []string
	for i := range lines {
		events = append(events, lines[i].Event+" "+lines[i].Source)
	}
	g.Expect(events).To(gomega.Equal([]string{"attempt_failed f   1.5 node-1", "request_failed f", "x f", "request_late f"}))
	g.Expect(lines[1].Get("attempts")).To(gomega.Equal(`a: "x"; b`))
	var out strings.Builder
	g.Expect(explain.Write(&out, lines[1:2])).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.Equal("00:00:02.000  request_failed  f\n    attempts     a: \"x\"\n    attempts     b\n"))
}
