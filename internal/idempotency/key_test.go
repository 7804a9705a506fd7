package idempotency_test

import (
	"bytes"
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/idempotency"
)

func newSecret(id string, b byte) idempotency.Secret {
	return idempotency.Secret{ID: id, Value: bytes.Repeat([]byte{b}, 32)}
}

func newIssuer(g *gomega.WithT, home control.Identity, secrets ...idempotency.Secret) *idempotency.Issuer {
	i, err := idempotency.NewIssuer(home, time.Minute, secrets)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return i
}

func TestVerifyReturnsIssuedFields(t *testing.T) {
	g := gomega.NewWithT(t)
	home := control.Identity{Instance: "east-1", Incarnation: 1 << 60}
	oldIssuer := newIssuer(g, home, newSecret("a", 1))
	key, expires, err := oldIssuer.Issue("orders")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rotatedIssuer := newIssuer(g, control.Identity{Instance: "west-1"}, newSecret("b", 2), newSecret("a", 1))
	got, err := rotatedIssuer.Verify(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(idempotency.IssuedKey{Home: home, Service: "orders", Expires: expires}))
	other, _, _ := oldIssuer.Issue("orders")
	g.Expect(other).NotTo(gomega.Equal(key))
}

func TestAlteredKeysAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	i := newIssuer(g, control.Identity{Instance: "east-1", Incarnation: 7}, newSecret("a", 1))
	key, _, _ := i.Issue("orders")
	raw, err := base64.RawURLEncoding.DecodeString(key[4:])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for at := range raw {
		changed := bytes.Clone(raw)
		changed[at] ^= 0x10
		_, err = i.Verify(key[:4] + base64.RawURLEncoding.EncodeToString(changed))
		g.Expect(err).To(gomega.HaveOccurred(), "byte %d", at)
	}
	for _, text := range []string{"", "sl1-", "sl1-AAAA", key[:len(key)-1], key + "A", strings.Repeat("x", 600)} {
		_, err = i.Verify(text)
		g.Expect(err).To(gomega.HaveOccurred(), "%q", text)
	}
}

func BenchmarkVerify(b *testing.B) {
	i, _ := idempotency.NewIssuer(control.Identity{Instance: "east-1", Incarnation: 7}, time.Minute, []idempotency.Secret{newSecret("a", 1)})
	key, _, _ := i.Issue("orders")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := i.Verify(key); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkIssue(b *testing.B) {
	i, _ := idempotency.NewIssuer(control.Identity{Instance: "east-1", Incarnation: 7}, time.Minute, []idempotency.Secret{newSecret("a", 1)})
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := i.Issue("orders"); err != nil {
			b.Fatal(err)
		}
	}
}
