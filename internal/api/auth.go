package api

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/settings"
)

const (
	// refusalBurst is how many refusals an address gets at once, refusalRefill
	// the time after which it gets one more.
	refusalBurst  = 10
	refusalRefill = 2 * time.Second
	// maxRefusedAddresses bounds the table of addresses.
	maxRefusedAddresses = 1024
)

// authenticator lets only operators pass. Addresses that fail too often are
// turned away for a while without a look at their credential.
type authenticator struct {
	operators []settings.Operator
	events    *event.Logger
	now       func() time.Time

	mu      sync.Mutex
	refused map[string]*refusals
}

// refusals is a token bucket of one address.
type refusals struct {
	left float64
	at   time.Time
}

func newAuthenticator(opts OperatorsOptions) *authenticator {
	return &authenticator{
		operators: opts.Operators,
		events:    opts.Events,
		now:       opts.Now,
		refused:   make(map[string]*refusals),
	}
}

type operatorKey struct{}

// operatorOf returns the name of the authenticated operator.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

// require passes requests of operators on, with the operator's name.
func (a *authenticator) require(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		address := hostOf(r.RemoteAddr)
		if a.limited(address) {
			a.events.Log(event.OperatorLimited, "address", address)
			setRetryAfter(w.Header(), refusalRefill)
			writeError(w, http.StatusTooManyRequests, wire.CodeTooManyRefusals, "too many refused credentials from this address")
			return
		}
		name, ok := a.authenticate(r)
		if !ok {
			a.refuse(address)
			a.events.Log(event.OperatorRefused, "address", address, "reason", "the credential is missing or not valid")
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, wire.CodeUnauthorized, "the credential is missing or not valid")
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	}
}

func (a *authenticator) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	return settings.FindOperator(a.operators, token)
}

// limited reports whether the address has no refusal left.
func (a *authenticator) limited(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	found, ok := a.refused[address]
	if !ok {
		return false
	}
	found.refill(a.now())
	if found.left >= refusalBurst {
		delete(a.refused, address)
	}
	return found.left < 1
}

func (a *authenticator) refuse(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	found, ok := a.refused[address]
	if !ok {
		a.makeRoom(now)
		found = &refusals{left: refusalBurst, at: now}
		a.refused[address] = found
	}
	found.refill(now)
	found.left--
}

// makeRoom forgets the addresses that have all their refusals back, and any
// one when there are none.
func (a *authenticator) makeRoom(now time.Time) {
	if len(a.refused) < maxRefusedAddresses {
		return
	}
	any := ""
	for address, r := range a.refused {
		r.refill(now)
		if r.left >= refusalBurst {
			delete(a.refused, address)
		}
		any = address
	}
	if len(a.refused) >= maxRefusedAddresses {
		delete(a.refused, any)
	}
}

func (r *refusals) refill(now time.Time) {
	gained := float64(now.Sub(r.at)) / float64(refusalRefill)
	r.left = min(refusalBurst, r.left+max(0, gained))
	r.at = now
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
