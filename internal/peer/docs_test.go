package peer

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestDocumentedFramesAndLimits compares the frame types and their limits, the
// application protocols and the kinds of events in docs/PROTOCOL.md with the code.
func TestDocumentedFramesAndLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	doc, err := os.ReadFile("../../docs/PROTOCOL.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	row := regexp.MustCompile(`(?m)^\| (\d) \| ([a-z ]+) \| .* \| ([\d,]+) \|$`)
	documented := map[frameType]int{}
	for _, m := range row.FindAllStringSubmatch(string(doc), -1) {
		kind, _ := strconv.Atoi(m[1])
		limit, _ := strconv.Atoi(strings.ReplaceAll(m[3], ",", ""))
		documented[frameType(kind)] = limit
	}
	g.Expect(documented).To(gomega.Equal(map[frameType]int{
		frameRequest:   DefaultHeadBytes,
		frameResponse:  DefaultHeadBytes,
		frameChunk:     maxChunkBytes,
		frameEnd:       endPayloadBytes,
		frameControl:   DefaultControlBytes,
		frameKeys:      DefaultHeadBytes,
		frameKeysReply: DefaultHeadBytes,
		frameAbort:     0,
		frameContinue:  0,
	}))
	for _, protocol := range []string{protocolShort, protocolBulk} {
		g.Expect(string(doc)).To(gomega.ContainSubstring("`" + protocol + "`"))
	}
	for kind := Connected + 1; kind < eventKindCount; kind++ {
		g.Expect(string(doc)).To(gomega.ContainSubstring("`" + kind.String() + "`"))
	}
}
