package replay_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/replay"
)

func TestEachAttemptReadsWholeBody(t *testing.T) {
	g := gomega.NewWithT(t)
	text := strings.Repeat("0123456789", 1000)
	b := replay.New(iotest.OneByteReader(strings.NewReader(text)))
	first, ok := b.Next()
	g.Expect(ok).To(gomega.BeTrue())
	_, err := io.CopyN(io.Discard, first, 77)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, ok := b.Next()
	g.Expect(ok).To(gomega.BeTrue())
	got, err := io.ReadAll(second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got)).To(gomega.Equal(text))
	_, err = first.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(err).NotTo(gomega.Equal(io.EOF))
}

func TestBodyAboveLimitIsNotReplayable(t *testing.T) {
	g := gomega.NewWithT(t)
	text := strings.Repeat("x", replay.Limit+1)
	b := replay.New(strings.NewReader(text))
	first, _ := b.Next()
	_, err := io.CopyN(io.Discard, first, replay.Limit)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(b.Replayable()).To(gomega.BeTrue())
	rest, err := io.ReadAll(first)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rest).To(gomega.HaveLen(1))
	_, ok := b.Next()
	g.Expect(ok).To(gomega.BeFalse())
}

func TestSharedRequiresBufferedBody(t *testing.T) {
	g := gomega.NewWithT(t)
	b := replay.New(strings.NewReader("abc"))
	_, ok := b.Shared()
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(b.Fill()).To(gomega.Succeed())
	for range 2 {
		r, ok := b.Shared()
		g.Expect(ok).To(gomega.BeTrue())
		got, err := io.ReadAll(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal("abc"))
	}
}

func TestSourceErrorIsReturnedToReader(t *testing.T) {
	g := gomega.NewWithT(t)
	errSource := errors.New("cut")
	b := replay.New(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(errSource)))
	g.Expect(b.Fill()).To(gomega.MatchError(errSource))
	r, _ := b.Next()
	_, err := io.ReadAll(r)
	g.Expect(err).To(gomega.MatchError(errSource))
}
