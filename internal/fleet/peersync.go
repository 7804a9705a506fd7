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
	newsPath = "/v1/news"
	// newsTimeout bounds one question to a peer: a round trip between regions with
	// a new connection takes less than 300 ms, and all objects of a large deployment
	// some 200 ms more on a narrow link.
	newsTimeout = 700 * time.Millisecond
	// maxNewsBytes bounds an answer in bytes: a full log of ordinary entries.
	maxNewsBytes = 8 << 20
	// maxNewsHeader bounds its header in bytes: it has some 200.
	maxNewsHeader = 16 << 10
	// headerProof carries the authenticator of an answer.
	headerProof = "Proof"
	// newsIdle closes unused connections between instances.
	newsIdle = 30 * time.Second
)

// Newsroom lets instances read changes of the platform from each other, so that few
// of them need to ask the platform itself.
type Newsroom struct {
	Self  *Registration
	Table *Table
	Logs  [Topics]*ChangeLog
	http  *http.Client
}

// NewNewsroom returns the newsroom of an instance with empty logs.
func NewNewsroom(self *Registration, table *Table) *Newsroom {
	n := &Newsroom{Self: self, Table: table}
	for topic := range n.Logs {
		n.Logs[topic] = NewChangeLog()
	}
	dialer := &net.Dialer{Timeout: newsTimeout}
	n.http = &http.Client{
		Timeout: newsTimeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: newsIdle, DisableCompression: true,
			MaxResponseHeaderBytes: maxNewsHeader,
		},
	}
	return n
}

// ServeHTTP answers a peer's question. What it tells is no secret to whoever
// reaches the port; the authenticator lets the peer trust it.
func (n *Newsroom) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, err := strconv.Atoi(q.Get("topic"))
	after, err2 := strconv.ParseInt(q.Get("after"), 10, 64)
	if r.URL.Path != newsPath || err != nil || err2 != nil || topic < 0 || topic >= int(Topics) {
		http.NotFound(w, r)
		return
	}
	news, ok := n.Logs[topic].Since(after)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(news)
	if err != nil {
		// The peer logs the status and asks another one.
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerProof, proof(n.Self.Secret, q.Encode(), body))
	// A peer that does not take the answer asks again.
	_, _ = w.Write(body)
}

// proof binds an answer to its question and to the run that gave it.
func proof(secret []byte, question string, body []byte) string {
	return base64.StdEncoding.EncodeToString(proofOf(secret, append([]byte(question+"\n"), body...)))
}

// Ask reads what a peer knows of a topic after a revision.
func (n *Newsroom) Ask(ctx context.Context, peer string, topic Topic, after int64) (News, error) {
	r, ok := n.Table.Registration(peer)
	if !ok {
		return News{}, Error.New("%q is not registered", peer)
	}
	query := url.Values{
		"topic": {strconv.Itoa(int(topic))}, "after": {strconv.FormatInt(after, 10)},
		"nonce": {strconv.FormatInt(time.Now().UnixNano(), 36)},
	}
	target := url.URL{Scheme: "http", Host: r.Peers, Path: newsPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return News{}, Error.Wrap(err)
	}
	resp, err := n.http.Do(req)
	if err != nil {
		return News{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxNewsBytes))
	switch {
	case err != nil:
		return News{}, Error.Wrap(err)
	case resp.StatusCode != http.StatusOK:
		return News{}, Error.New("%s answered with status %d", peer, resp.StatusCode)
	case !hmac.Equal([]byte(resp.Header.Get(headerProof)), []byte(proof(r.Secret, query.Encode(), body))):
		return News{}, Error.New("answer of %s with a wrong authenticator", peer)
	}
	var news News
	if err := json.Unmarshal(body, &news); err != nil {
		return News{}, Error.Wrap(err)
	}
	return news, nil
}
