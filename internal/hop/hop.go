// Package hop removes hop-by-hop header fields, which apply to a single connection
// and must not be forwarded.
package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip deletes hop-by-hop fields, including those listed in Connection.
func Strip(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripFraming deletes hop-by-hop fields, Content-Length and Expect, for messages whose
// sender sets the framing of the body itself.
func StripFraming(h http.Header) {
	Strip(h)
	h.Del("Expect")
	h.Del("Content-Length")
}
