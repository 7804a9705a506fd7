package api_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"sycamoreledge.example/internal/api"
	"sycamoreledge.example/internal/client"
	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/platform"
	"sycamoreledge.example/internal/presets"
	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/internal/work"
)

const operatorToken = "token of the test"

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// operatorsFixture is a server for operators on an in-memory platform.
type operatorsFixture struct {
	*gomega.WithT
	memory        *platform.Memory
	events        *event.Logger
	config        atomic.Pointer[settings.Config]
	leaveRequests atomic.Int64
	address       string
	dir           string
}

// newOperatorsFixture starts the server. The fake control loop applies new
// configurations immediately. adjust may change the options.
func newOperatorsFixture(t *testing.T, adjust func(*operatorsFixture, *api.OperatorsOptions)) *operatorsFixture {
	t.Helper()
	b := &operatorsFixture{WithT: expect(t), memory: platform.NewMemory(), events: event.Discard(), dir: t.TempDir()}
	topology, err := settings.LoadTopology("../settings/testdata/topology.yaml")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	initial, err := settings.LoadPreset("../settings/testdata/preset.yaml", topology)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.config.Store(presets.Initial(initial))
	opts := api.OperatorsOptions{
		Presets:   presets.NewStore(b.memory, topology, initial),
		Snapshot:  b.snapshot,
		Topology:  topology,
		Operators: []settings.Operator{{Name: "ada", TokenSHA256: digestOf(operatorToken)}},
		OnChange:  func(cfg *settings.Config) { b.config.Store(cfg) },
		Leave:     func() { b.leaveRequests.Add(1) },
		TLS:       b.newKeySource().OperatorServer(),
		Events:    b.events,
	}
	if adjust != nil {
		adjust(b, &opts)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.address = ln.Addr().String()
	s := api.NewOperators(ln, opts)
	s.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		s.Stop(ctx)
	})
	return b
}

func (b *operatorsFixture) snapshot() *control.Snapshot {
	cfg := b.config.Load()
	preset := cfg.Presets[cfg.InForce]
	pool := work.PoolID{Service: "status", Zone: "east-b"}
	unownedPool := work.PoolID{Service: "status", Zone: "west-a"}
	return &control.Snapshot{
		At: time.Now(), Self: "e1", Zone: "east-a", Region: "east", State: control.Serving,
		Config: cfg, Preset: &preset,
		Instances: []control.InstanceView{
			{Name: "e1", Zone: "east-a", Region: "east", Alive: true, State: control.Serving, ConfigVersion: cfg.Version},
			{Name: "e3", Zone: "east-b", Region: "east"},
		},
		Pools: map[work.PoolID]*control.PoolView{
			pool:        {ID: pool, Region: "east", Owners: []control.PoolOwner{{Instance: "e1", Slots: 1}}},
			unownedPool: {ID: unownedPool, Region: "west"},
		},
		Owned: map[work.PoolID]control.Grant{pool: {BaseUntil: time.Now().Add(time.Hour), Adopted: true}},
	}
}

// newKeySource creates a certificate authority and the certificate and key of the
// instance.
func (b *operatorsFixture) newKeySource() *pki.Source {
	authority, err := pki.NewAuthority("test", time.Now())
	b.Expect(err).NotTo(gomega.HaveOccurred())
	pair, err := authority.Issue("e1", []string{"127.0.0.1"}, time.Now())
	b.Expect(err).NotTo(gomega.HaveOccurred())
	files := pki.Files{Authority: b.path("ca.pem"), Certificate: b.path("e1.pem"), Key: b.path("e1.key")}
	b.Expect(authority.Pair().Write(files.Authority, b.path("ca.key"))).To(gomega.Succeed())
	b.Expect(pair.Write(files.Certificate, files.Key)).To(gomega.Succeed())
	source, err := pki.NewSource(files, pki.Options{})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	return source
}

func (b *operatorsFixture) path(name string) string { return filepath.Join(b.dir, name) }

func (b *operatorsFixture) client(token string) *client.Client {
	tlsConfig, err := pki.OperatorClient(b.path("ca.pem"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := client.New(client.Options{Endpoints: []string{b.address}, Token: token, TLS: tlsConfig, Timeout: 2 * socketTimeout})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// expectCode checks that err is an API error with the given status and code.
func (b *operatorsFixture) expectCode(err error, status int, code string) {
	apiErr := b.apiError(err)
	b.Expect(apiErr.Status).To(gomega.Equal(status), "%v", err)
	b.Expect(apiErr.Answer.Code).To(gomega.Equal(code))
}

func (b *operatorsFixture) apiError(err error) *client.APIError {
	var apiErr *client.APIError
	b.Expect(errors.As(err, &apiErr)).To(gomega.BeTrue(), "%v", err)
	return apiErr
}

const peakPreset = `name: peak
headroom: 0.1
services:
  - {name: status, deadline: 2s, dispatch_timeout: 1500ms, queue: 50, shift_rate: 10, shift_ramp: 10s}
`

func operation(id string) client.Change { return client.Change{Operation: id} }
