package answer_test

import (
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/answer"
)

func TestOnlyTheOwnWholeAnswerIsAccepted(t *testing.T) {
	digest := answer.Digest([]byte("film"))
	whole := answer.Body("n1", digest, 500)
	changed := append([]byte(nil), whole...)
	changed[400] ^= 1
	cases := []struct {
		name string
		body []byte
		want string
	}{
		{"whole", whole, ""},
		{"cut", whole[:499], "cut after 499 of 500"},
		{"empty", nil, "cut after 0 of 500"},
		{"longer", append(append([]byte(nil), whole...), 0), "another request"},
		{"changed", changed, "another request"},
		{"other nonce", answer.Body("n2", digest, 500), "another request"},
		{"other body", answer.Body("n1", answer.EmptyDigest, 500), "another request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			err := answer.Check("n1", digest, 500, c.body)
			if c.want == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}
}
