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

// maxOperatorConnections bounds the connections of the operators' listener. For each
// one, the library may buffer a body of up to maxChangeBytes.
const maxOperatorConnections = 128

// operatorServer runs the operators' API on a hertz engine behind a guardListener. The
// library reads the whole body of a request, which is small here, before it calls the
// handler.
type operatorServer struct {
	engine *server.Hertz
	guard  *guardListener
	events *event.Logger
}

// connKey is the context key of the guardConn of a request.
type connKey struct{}

// discardLibraryLogs discards the log output of the HTTP library, whose lines have no
// event numbers.
var discardLibraryLogs = sync.OnceFunc(func() { hlog.SetOutput(io.Discard) })

func newOperatorServer(ln net.Listener, tlsConfig *tls.Config, events *event.Logger) *operatorServer {
	discardLibraryLogs()
	s := &operatorServer{guard: newGuardListener(ln, maxOperatorConnections), events: events}
	s.engine = server.New(
		server.WithListener(s.guard),
		server.WithTransport(standard.NewTransporter),
		server.WithTLS(tlsConfig),
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
		writeError(w, http.StatusMethodNotAllowed, wire.CodeMethodNotAllowed, "the method is not allowed for this path")
	}))
	return s
}

// start serves in a new goroutine.
func (s *operatorServer) start() {
	go s.engine.Run() //nolint:errcheck // returns when the listener is closed
}

// stop rejects new connections and waits for the requests in flight until ctx ends. It
// returns the number of requests that were aborted.
func (s *operatorServer) stop(ctx context.Context) int { return s.guard.shutdown(ctx) }

// handle adapts a net/http handler to the library and recovers from its panics.
func (s *operatorServer) handle(handler http.HandlerFunc) app.HandlerFunc {
	return func(c context.Context, ctx *app.RequestContext) {
		conn, _ := c.Value(connKey{}).(*guardConn)
		conn.beginRequest()
		defer conn.endRequest()
		w := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
		defer w.copyTo(ctx)
		defer s.recoverPanic(ctx, w)
		r, err := toStandardRequest(c, ctx)
		if err != nil {
			writeError(w, http.StatusBadRequest, wire.CodeBadRequest, "the request URI is not valid")
			return
		}
		handler(w, r)
	}
}

func (s *operatorServer) recoverPanic(ctx *app.RequestContext, w *bufferedResponse) {
	panicked := recover()
	if panicked == nil {
		return
	}
	s.events.Log(event.HandlerPanic, "where", string(ctx.Path()), "error", panicked, "stack", string(debug.Stack()))
	w.body.Reset()
	writeError(w, http.StatusInternalServerError, wire.CodeInternal, "the command failed with an internal error; see the log of the instance")
}

// toStandardRequest converts a request of the library to a net/http request.
func toStandardRequest(c context.Context, ctx *app.RequestContext) (*http.Request, error) {
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

// bufferedResponse is an http.ResponseWriter that buffers the response until the
// handler returns.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *bufferedResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *bufferedResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *bufferedResponse) Write(p []byte) (int, error) { return w.body.Write(p) }

// copyTo copies the response to the library's, which sets its own Content-Length.
func (w *bufferedResponse) copyTo(ctx *app.RequestContext) {
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
