// Package endless is a stand-in for a faulty server that answers with bytes
// without end.
package endless

import (
	"bytes"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"time"
)

// burst is how many bytes are written at once when there is no pause.
const burst = 32 << 10

// Answer is an answer that does not end: a beginning, and a piece that is repeated
// until the connection is closed.
type Answer struct {
	Name      string
	Beginning string
	Piece     string
	// Pause is the time between two pieces; 0 sends them as fast as they are taken.
	Pause time.Duration
}

// Headers never come to the end of a header.
var Headers = []Answer{
	{Name: "status line", Beginning: "HTTP/1.1 200 ", Piece: "x"},
	{Name: "bytes without a line", Piece: "\x00"},
	{Name: "empty lines", Piece: "\r\n"},
	{Name: "header field", Beginning: "HTTP/1.1 200 OK\r\nLong: ", Piece: "x"},
	{Name: "header field of folded lines", Beginning: "HTTP/1.1 200 OK\r\nLong: x\r\n", Piece: " x\r\n"},
	{Name: "header fields", Beginning: "HTTP/1.1 200 OK\r\n", Piece: "More: x\r\n"},
	{Name: "interim answers", Piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{
		Name:  "interim answers with long headers",
		Piece: "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
	},
}

// Bodies returns bodies without end after a status line with the fields given.
func Bodies(fields string) []Answer {
	head := "HTTP/1.1 200 OK\r\n" + fields
	return []Answer{
		{Name: "body until the end of the connection", Beginning: head + "\r\n", Piece: "x"},
		{Name: "body of immense length", Beginning: head + "Content-Length: 9223372036854775807\r\n\r\n", Piece: "x"},
		{Name: "chunks", Beginning: head + "Transfer-Encoding: chunked\r\n\r\n", Piece: "80\r\n" + strings.Repeat("x", 0x80) + "\r\n"},
	}
}

// Framing returns chunked bodies whose framing does not end.
func Framing(fields string) []Answer {
	head := "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n"
	return []Answer{
		{Name: "chunk length", Beginning: head, Piece: "0"},
		{Name: "chunk extension", Beginning: head + "4;", Piece: "x"},
		{Name: "extensions of short chunks", Beginning: head, Piece: "1;" + strings.Repeat("x", 2<<10) + "\r\nx\r\n"},
		{Name: "trailer field", Beginning: head + "0\r\nLong: ", Piece: "x"},
		{Name: "trailer fields", Beginning: head + "0\r\n", Piece: "More: x\r\n"},
	}
}

// Write sends the answer until the connection is closed.
func (a Answer) Write(conn net.Conn) {
	piece := []byte(a.Piece)
	if a.Pause == 0 {
		piece = bytes.Repeat(piece, max(1, burst/len(piece)))
	}
	text := []byte(a.Beginning)
	for {
		if _, err := conn.Write(text); err != nil {
			return
		}
		text = piece
		time.Sleep(a.Pause)
	}
}

// Server answers whatever it is asked with one answer.
type Server struct {
	net.Listener
	open atomic.Int64
}

// New starts a server on a free port of the loopback interface.
func New(a Answer) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Listener: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go func() {
				defer s.open.Add(-1)
				defer func() { _ = conn.Close() }()
				// The answer begins once the request does.
				if _, err := conn.Read(make([]byte, burst)); err == nil {
					a.Write(conn)
				}
			}()
		}
	}()
	return s, nil
}

// Open is the number of connections on which the answer still goes on.
func (s *Server) Open() int64 { return s.open.Load() }

// Allocated is how many bytes a function allocates in all.
func Allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}
