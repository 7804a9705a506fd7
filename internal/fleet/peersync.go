package fleet

import (
	"context"
	"crypto/hmac"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	changesPath = "/v1/news"
	// fetchTimeout bounds one request to a peer: a round trip between regions with a new
	// connection takes less than 300 ms, and all objects of a large deployment some 200 ms
	// more on a narrow link.
	fetchTimeout = 700 * time.Millisecond
	// maxResponseBytes bounds a response in bytes: a full log of entries of usual size.
	maxResponseBytes = 8 << 20
	// maxResponseHeaderBytes bounds the header of a response in bytes; it has some 200.
	maxResponseHeaderBytes = 16 << 10
	// authenticatorHeader is the header that carries the authenticator of a response.
	authenticatorHeader = "Proof"
	// idleConnTimeout is after how long unused connections between instances are closed.
	idleConnTimeout = 30 * time.Second
)

// PeerSync lets instances read changes of the platform from each other, so that few
// of them need to call the platform itself. It serves the local change logs over HTTP
// and fetches those of peers.
type PeerSync struct {
	Self  *Registration
	Table *Table
	Logs  [TopicCount]*ChangeLog
	http  *http.Client
}

// NewPeerSync returns the PeerSync of an instance, with empty logs.
func NewPeerSync(self *Registration, table *Table) *PeerSync {
	p := &PeerSync{Self: self, Table: table}
	for topic := range p.Logs {
		p.Logs[topic] = NewChangeLog()
	}
	dialer := &net.Dialer{Timeout: fetchTimeout}
	p.http = &http.Client{
		Timeout: fetchTimeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}
	return p
}

// ServeHTTP answers the request of a peer with a ChangeSet. The content is no secret from
// anyone who can reach the port; the authenticator lets the peer trust it. The response has
// status 503 before the first snapshot of the topic.
func (p *PeerSync) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, err := strconv.Atoi(q.Get("topic"))
	after, err2 := strconv.ParseInt(q.Get("after"), 10, 64)
	known, err3 := strconv.ParseInt(q.Get("known"), 10, 64)
	if err3 != nil {
		// Peers of an earlier version do not state it.
		known = after
	}
	if r.URL.Path != changesPath || err != nil || err2 != nil || topic < 0 || topic >= int(TopicCount) {
		http.NotFound(w, r)
		return
	}
	set, ok := p.Logs[topic].Since(after, known)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(set)
	if err != nil {
		// The peer logs the status and asks another peer.
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(authenticatorHeader, responseAuthenticator(p.Self.Secret, q.Encode(), body))
	// Write errors are ignored: a peer that did not get the response asks again.
	_, _ = w.Write(body)
}

// responseAuthenticator authenticates a response together with the query that it answers.
func responseAuthenticator(secret []byte, query string, body []byte) string {
	return base64.StdEncoding.EncodeToString(authenticator(secret, append([]byte(query+"\n"), body...)))
}

// Fetch requests the changes of a topic after a revision from a peer, for a reader that knows
// objects up to the revision known; see ChangeLog.Since. It returns an error if
// the peer is not registered, does not answer with status 200 within fetchTimeout, or its
// response is malformed or not authenticated.
func (p *PeerSync) Fetch(ctx context.Context, peer string, topic Topic, after, known int64) (ChangeSet, error) {
	r, ok := p.Table.Registration(peer)
	if !ok {
		return ChangeSet{}, Error.New("%q is not registered; no request sent", peer)
	}
	query := url.Values{
		"topic": {strconv.Itoa(int(topic))}, "after": {strconv.FormatInt(after, 10)},
		"known": {strconv.FormatInt(known, 10)},
		"nonce": {strconv.FormatInt(time.Now().UnixNano(), 36)},
	}
	target := url.URL{Scheme: "http", Host: r.Peers, Path: changesPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return ChangeSet{}, Error.Wrap(err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return ChangeSet{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case err != nil:
		return ChangeSet{}, Error.Wrap(err)
	case resp.StatusCode != http.StatusOK:
		return ChangeSet{}, Error.New("%s answered with status %d, expected 200", peer, resp.StatusCode)
	case !hmac.Equal([]byte(resp.Header.Get(authenticatorHeader)), []byte(responseAuthenticator(r.Secret, query.Encode(), body))):
		return ChangeSet{}, Error.New("response of %s with a wrong authenticator; dropped", peer)
	}
	var set ChangeSet
	if err := json.Unmarshal(body, &set); err != nil {
		return ChangeSet{}, Error.Wrap(err)
	}
	return set, nil
}
