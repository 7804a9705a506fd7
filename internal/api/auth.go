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
	// refusalBurst is the number of refused credentials that an address may send
	// at once, refusalRefillInterval the time after which it may send one more.
	refusalBurst          = 10
	refusalRefillInterval = 2 * time.Second
	// maxTrackedAddresses bounds the number of addresses with a token bucket.
	maxTrackedAddresses = 1024
)

// authenticator admits requests with the credential of an operator. It limits the
// rate of failures per address: requests from an address over the limit are rejected
// without a check of their credential.
type authenticator struct {
	operators []settings.Operator
	events    *event.Logger
	now       func() time.Time

	mu      sync.Mutex
	buckets map[string]*refusalBucket
}

// refusalBucket is the token bucket for the refused credentials of one address.
type refusalBucket struct {
	tokens     float64
	refilledAt time.Time
}

func newAuthenticator(opts OperatorsOptions) *authenticator {
	return &authenticator{
		operators: opts.Operators,
		events:    opts.Events,
		now:       opts.Now,
		buckets:   make(map[string]*refusalBucket),
	}
}

type operatorKey struct{}

// operatorOf returns the name of the authenticated operator, or "" without one.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

// requireOperator wraps a handler so that it is called only for authenticated
// requests, with the operator's name in the context.
func (a *authenticator) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		address := hostOf(r.RemoteAddr)
		if a.isLimited(address) {
			a.events.Log(event.OperatorLimited, "address", address)
			setRetryAfter(w.Header(), refusalRefillInterval)
			writeError(w, http.StatusTooManyRequests, wire.CodeTooManyRefusals, "too many refused credentials from this address")
			return
		}
		name, ok := a.authenticate(r)
		if !ok {
			a.recordRefusal(address)
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

// isLimited reports whether the bucket of the address is empty.
func (a *authenticator) isLimited(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	bucket, ok := a.buckets[address]
	if !ok {
		return false
	}
	bucket.refill(a.now())
	if bucket.tokens >= refusalBurst {
		delete(a.buckets, address)
	}
	return bucket.tokens < 1
}

func (a *authenticator) recordRefusal(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	bucket, ok := a.buckets[address]
	if !ok {
		a.evict(now)
		bucket = &refusalBucket{tokens: refusalBurst, refilledAt: now}
		a.buckets[address] = bucket
	}
	bucket.refill(now)
	bucket.tokens--
}

// evict makes room for another bucket if the table is full. It removes the buckets
// that are full again, or an arbitrary one if there are none.
func (a *authenticator) evict(now time.Time) {
	if len(a.buckets) < maxTrackedAddresses {
		return
	}
	victim := ""
	for address, bucket := range a.buckets {
		bucket.refill(now)
		if bucket.tokens >= refusalBurst {
			delete(a.buckets, address)
		}
		victim = address
	}
	if len(a.buckets) >= maxTrackedAddresses {
		delete(a.buckets, victim)
	}
}

func (r *refusalBucket) refill(now time.Time) {
	gained := float64(now.Sub(r.refilledAt)) / float64(refusalRefillInterval)
	r.tokens = min(refusalBurst, r.tokens+max(0, gained))
	r.refilledAt = now
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
