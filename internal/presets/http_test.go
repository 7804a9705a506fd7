package presets_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/lab/platformsim"
	"sycamoreledge.example/internal/platform"
)

// TestChangesOverHTTPWithBrokenConnections makes changes over real sockets while
// the platform breaks connections before or after it executes an update.
func TestChangesOverHTTPWithBrokenConnections(t *testing.T) {
	f := newFixture(t)
	sim := platformsim.New(platformsim.Config{})
	server := httptest.NewServer(sim.Handler())
	defer server.Close()
	client := platform.NewHTTPClient(server.Listener.Addr().String(), 30*time.Second)
	defer client.Close()
	f.memory = sim.Store()
	var operations []string
	for i := range 12 {
		faults := sim.Faults()
		faults.LoseAnswers = i % 3
		faults.LoseCalls = i % 2
		sim.SetFaults(faults)
		operation := fmt.Sprint(i)
		result, err := f.store(client).Apply(t.Context(), newRequest(operation), f.presetNamed("peak", i))
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(result.Config.Presets["peak"].Services[0].Queue).To(gomega.Equal(i))
		operations = append(operations, operation)
	}
	sim.SetFaults(platformsim.Faults{ReadRate: 100, WriteRate: 100})
	f.expectAuditTrail(t.Context(), operations...)
}
