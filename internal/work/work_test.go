package work_test

import (
	"testing"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/work"
)

func TestOnlyLookupsAreIdempotent(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(work.Lookup.Idempotent()).To(gomega.BeTrue())
	g.Expect(work.Order.Idempotent()).To(gomega.BeFalse())
	g.Expect(work.Upload.Idempotent()).To(gomega.BeFalse())
}
