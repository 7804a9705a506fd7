package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/event"
)

// maxOperatorConnections bounds the connections of the operators' listener.
// Each may make the library hold a change of maxChangeBytes.
const maxOperatorConnections = 128

// operatorServer is the hertz engine of the operators' interface, behind a
// guarded listener. The library reads the small bodies of commands whole before
// it calls a handler.
type operatorServer struct {
	engine *server.Hertz
	guard  *guardListener
	events *event.Logger
}

// connKey finds the guarded connection in the context of a request.
type connKey struct{}

// quietLibrary keeps the log lines of the HTTP library, which have no numbers,
// out of the log.
var quietLibrary = sync.OnceFunc(func() { hlog.SetOutput(io.Discard) })

func newOperatorServer(ln net.Listener, secure *tls.Config, events *event.Logger) *operatorServer {
	quietLibrary()
	s := &operatorServer{guard: newGuardListener(ln, maxOperatorConnections), events: events}
	s.engine = server.New(
		server.WithListener(s.guard),
		server.WithTransport(standard.NewTransporter),
		server.WithTLS(secure),
		server.WithMaxRequestBodySize(maxChangeBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithReadTimeout(idleTimeout),
		server.WithRedirectTrailingSlash(false),
		server.WithHandleMethodNotAllowed(true),
		server.WithUseRawPath(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisablePrintRoute(true),
		server.WithOnAccept(func(conn net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, conn)
		}),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	s.engine.NoMethod(s.handle(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, wire.CodeMethodNotAllowed, "the method is not allowed here")
	}))
	return s
}

// start serves in a goroutine of its own.
func (s *operatorServer) start() {
	go s.engine.Run() //nolint:errcheck // ends with the listener
}

// stop refuses new connections and waits for the commands in flight until the
// context ends. It returns the number of those that were cut off.
func (s *operatorServer) stop(ctx context.Context) int { return s.guard.drain(ctx) }

// handle makes a handler of the library from one of the standard library's
// form, and keeps a panic from ending the process.
func (s *operatorServer) handle(handler http.HandlerFunc) app.HandlerFunc {
	return func(c context.Context, ctx *app.RequestContext) {
		conn, _ := c.Value(connKey{}).(*guardConn)
		conn.beginRequest()
		defer conn.endRequest()
		w := &heldAnswer{header: make(http.Header), status: http.StatusOK}
		defer w.copyTo(ctx)
		defer s.recoverPanic(ctx, w)
		r, err := standardRequest(c, ctx)
		if err != nil {
			writeError(w, http.StatusBadRequest, wire.CodeBadRequest, "the request cannot be read")
			return
		}
		handler(w, r)
	}
}

func (s *operatorServer) recoverPanic(ctx *app.RequestContext, w *heldAnswer) {
	reason := recover()
	if reason == nil {
		return
	}
	s.events.Log(event.HandlerPanic, "where", string(ctx.Path()), "error", reason, "stack", string(debug.Stack()))
	w.body.Reset()
	writeError(w, http.StatusInternalServerError, wire.CodeInternal, "the command failed; the instance's log says why")
}

// standardRequest returns a request in the form of the standard library.
func standardRequest(c context.Context, ctx *app.RequestContext) (*http.Request, error) {
	target, err := url.ParseRequestURI(string(ctx.Request.Header.RequestURI()))
	if err != nil {
		return nil, err
	}
	r := &http.Request{
		Method:        string(ctx.Request.Header.Method()),
		URL:           target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header),
		Body:          io.NopCloser(bytes.NewReader(ctx.Request.Body())),
		ContentLength: int64(len(ctx.Request.Body())),
		Host:          string(ctx.Request.Host()),
		RemoteAddr:    ctx.RemoteAddr().String(),
	}
	ctx.Request.Header.VisitAll(func(key, value []byte) {
		r.Header.Add(string(key), string(value))
	})
	for _, param := range ctx.Params {
		r.SetPathValue(param.Key, param.Value)
	}
	return r.WithContext(c), nil
}

// heldAnswer is an http.ResponseWriter that keeps the answer until the handler
// returns.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header fields of the answer.
func (w *heldAnswer) Header() http.Header { return w.header }

// WriteHeader sets the status.
func (w *heldAnswer) WriteHeader(status int) { w.status = status }

// Write adds to the body.
func (w *heldAnswer) Write(p []byte) (int, error) { return w.body.Write(p) }

// copyTo hands the answer to the library, which sends it with its length.
func (w *heldAnswer) copyTo(ctx *app.RequestContext) {
	ctx.SetStatusCode(w.status)
	for name, values := range w.header {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			ctx.Response.Header.Add(name, value)
		}
	}
	ctx.Response.SetBody(w.body.Bytes())
}
