package hop_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/hop"
)

func TestStrip(t *testing.T) {
	g := gomega.NewWithT(t)
	h := http.Header{
		"Connection": {"X-Own, close", "x-other"}, "X-Own": {"1"}, "X-Other": {"1"}, "Te": {"trailers"},
		"Content-Length": {"3"}, "Expect": {"100-continue"}, "X-Kept": {"1"},
	}
	framed := h.Clone()
	hop.Strip(h)
	g.Expect(h).To(gomega.Equal(http.Header{"Content-Length": {"3"}, "Expect": {"100-continue"}, "X-Kept": {"1"}}))
	hop.StripFraming(framed)
	g.Expect(framed).To(gomega.Equal(http.Header{"X-Kept": {"1"}}))
}
