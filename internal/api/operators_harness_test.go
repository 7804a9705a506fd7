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

// operatorsBench is an operators' server over a platform in memory, with a
// client for it.
type operatorsBench struct {
	*gomega.WithT
	memory  *platform.Memory
	events  *event.Logger
	config  atomic.Pointer[settings.Config]
	left    atomic.Int64
	address string
	dir     string
}

// newOperatorsBench starts the server. The fake control loop takes accepted
// configurations at once; the change adjusts the options.
func newOperatorsBench(t *testing.T, change func(*operatorsBench, *api.OperatorsOptions)) *operatorsBench {
	t.Helper()
	b := &operatorsBench{WithT: expect(t), memory: platform.NewMemory(), events: event.Discard(), dir: t.TempDir()}
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
		Accepted:  func(cfg *settings.Config) { b.config.Store(cfg) },
		Leave:     func() { b.left.Add(1) },
		TLS:       b.keys().OperatorServer(),
		Events:    b.events,
	}
	if change != nil {
		change(b, &opts)
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

func (b *operatorsBench) snapshot() *control.Snapshot {
	cfg := b.config.Load()
	preset := cfg.Presets[cfg.InForce]
	pool := work.PoolID{Service: "status", Zone: "east-b"}
	lonely := work.PoolID{Service: "status", Zone: "west-a"}
	return &control.Snapshot{
		At: time.Now(), Self: "e1", Zone: "east-a", Region: "east", State: control.Serving,
		Config: cfg, Preset: &preset,
		Instances: []control.InstanceView{
			{Name: "e1", Zone: "east-a", Region: "east", Alive: true, State: control.Serving, ConfigVersion: cfg.Version},
			{Name: "e3", Zone: "east-b", Region: "east"},
		},
		Pools: map[work.PoolID]*control.PoolView{
			pool:   {ID: pool, Region: "east", Owners: []control.PoolOwner{{Instance: "e1", Slots: 1}}},
			lonely: {ID: lonely, Region: "west"},
		},
		Owned: map[work.PoolID]control.Grant{pool: {BaseUntil: time.Now().Add(time.Hour), Adopted: true}},
	}
}

// keys makes the keys of the instance.
func (b *operatorsBench) keys() *pki.Source {
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

func (b *operatorsBench) path(name string) string { return filepath.Join(b.dir, name) }

func (b *operatorsBench) client(token string) *client.Client {
	secure, err := pki.OperatorClient(b.path("ca.pem"))
	b.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := client.New(client.Options{Endpoints: []string{b.address}, Token: token, TLS: secure, Timeout: 2 * socketLimit})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// expectCode checks that the error is an instance's with the status and code.
func (b *operatorsBench) expectCode(err error, status int, code string) {
	answer := b.apiError(err)
	b.Expect(answer.Status).To(gomega.Equal(status), "%v", err)
	b.Expect(answer.Answer.Code).To(gomega.Equal(code))
}

func (b *operatorsBench) apiError(err error) *client.APIError {
	var answer *client.APIError
	b.Expect(errors.As(err, &answer)).To(gomega.BeTrue(), "%v", err)
	return answer
}

const peakPreset = `name: peak
headroom: 0.1
services:
  - {name: status, deadline: 2s, dispatch_timeout: 1500ms, queue: 50, shift_rate: 10, shift_ramp: 10s}
`

func operation(id string) client.Change { return client.Change{Operation: id} }
